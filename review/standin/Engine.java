import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/** A model engine with the figures of the sheet: it reads prompts one after the other and writes events in passes. */
final class Engine extends Server {
    static final long MEMORY_TOKENS = 315_000;
    private static final int TOKENS_OF_EVENT = 51;
    private static final double TOKENS_READ_PER_MS = 177.0;
    private static final double PAIRS_MS_PER_MILLION = 0.184;
    private static final double STEP_MS = 0.85;
    private static final double STEP_MS_PER_REQUEST = 0.0062;
    private static final double CONTEXT_MS_PER_THOUSAND = 0.00285;

    /** One in so many answers has no length and ends with its channel; 0 for none. */
    int unframedEvery;

    private int answers;
    private final Map<String, Ticket> tickets = new HashMap<>();
    private double readsUntil;
    private long usedTokens;
    private int writing;
    private long contextTokens;

    Engine(String id, String service, String zone) throws IOException {
        super(id, service, zone, 11);
    }

    @Override
    void run(Message request, Socket socket) throws Exception {
        String[] counts = request.header("x-token-counts").split(",");
        long prompt = Long.parseLong(counts[0]);
        int events = (int) Math.ceil(Long.parseLong(counts[1]) / (double) TOKENS_OF_EVENT);
        String helpers = request.header("x-helpers");
        int parts = helpers == null ? 1 : helpers.split(",").length + 1;
        if (!take(prompt + Long.parseLong(counts[1]), parts)) {
            send(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        try {
            write(request, socket, prompt, events, parts);
        } finally {
            give(prompt + Long.parseLong(counts[1]), parts);
        }
    }

    private void write(Message request, Socket socket, long prompt, int events, int parts) throws Exception {
        Thread.sleep(Math.max(1, (long) (read(prompt, parts) - now())));
        Record.line("%s: runs %s", id, request.header("x-attempt-id"));
        boolean isFramed = !isUnframed();
        String attempt = request.header("x-attempt-id");
        if (!isFramed) {
            Record.line("%s: answers %s without a length, %d events", id, attempt, events);
        }
        send(socket, "HTTP/1.1 200 OK\r\n" + signed(request) + "Content-Type: text/event-stream\r\n"
            + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
        String last = request.header("last-event-id");
        begin(prompt / parts);
        try {
            for (int number = last == null ? 1 : Integer.parseInt(last) + 1; number <= events; number++) {
                Thread.sleep((long) pass());
                String event = "id: " + number + "\ndata: " + "x".repeat(50) + "\n\n";
                send(socket, isFramed ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event);
                if (!isFramed) {
                    System.out.println("event " + attempt + " " + number + " of " + events);
                }
            }
        } finally {
            begin(-prompt / parts);
        }
        if (isFramed) {
            send(socket, "0\r\n\r\n");
        }
    }

    private synchronized boolean isUnframed() {
        answers += 1;
        return unframedEvery > 0 && answers % unframedEvery == 0;
    }

    @Override
    synchronized void control(Message request, Socket socket) throws Exception {
        String body = new String(request.body);
        String answer = "{\"free\":" + (MEMORY_TOKENS - used()) + "}";
        int status = 200;
        if (body.contains("\"reserve\"")) {
            String ticket = text(body, "id");
            long tokens = Long.parseLong(text(body, "tokens"));
            if (!tickets.containsKey(ticket) && used() + tokens > MEMORY_TOKENS) {
                status = 409;
            } else {
                tickets.put(ticket, new Ticket(tokens, now() + Long.parseLong(text(body, "hold_ms"))));
            }
        } else if (body.contains("\"release\"")) {
            tickets.remove(text(body, "id"));
        }
        send(socket, "HTTP/1.1 " + status + " Order\r\nContent-Type: application/json\r\nContent-Length: "
            + answer.length() + "\r\n\r\n" + answer);
    }

    /** Plans the reading of a prompt of this engine and returns when it ends. */
    private synchronized double read(long prompt, int parts) {
        double millis = prompt / TOKENS_READ_PER_MS
            + (double) prompt * prompt / 2e6 * PAIRS_MS_PER_MILLION;
        readsUntil = Math.max(now(), readsUntil) + millis / parts;
        return readsUntil;
    }

    private synchronized boolean take(long tokens, int parts) {
        if (used() + tokens / parts > MEMORY_TOKENS) {
            return false;
        }
        usedTokens += tokens / parts;
        return true;
    }

    private synchronized void give(long tokens, int parts) {
        usedTokens -= tokens / parts;
    }

    private synchronized void begin(long context) {
        writing += context > 0 ? 1 : -1;
        contextTokens += context;
    }

    private synchronized double pass() {
        double step = STEP_MS + writing * STEP_MS_PER_REQUEST + contextTokens / 1000.0 * CONTEXT_MS_PER_THOUSAND;
        return step * TOKENS_OF_EVENT;
    }

    private long used() {
        tickets.values().removeIf(ticket -> ticket.until < now());
        return usedTokens + tickets.values().stream().mapToLong(ticket -> ticket.tokens).sum();
    }

    private static String text(String body, String name) {
        String rest = body.substring(body.indexOf("\"" + name + "\":") + name.length() + 3);
        return rest.split("[,}]")[0].replace("\"", "");
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private record Ticket(long tokens, double until) {
    }
}
