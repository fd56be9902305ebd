import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A requester: one request on a channel of its own, and what came back. */
final class Caller {
    private static final AtomicInteger NUMBER = new AtomicInteger();

    final String attempt = String.format("%016x", 0x5eed0000L + NUMBER.incrementAndGet());
    final String daemon;
    volatile double sentAt;
    volatile double endedAt;
    volatile int status;
    volatile int events;
    volatile long bytes;
    volatile boolean isInOrder = true;
    volatile int expectedEvents;
    volatile boolean complete;
    volatile boolean finished;
    volatile boolean left;
    volatile String end = "";
    private Thread thread;

    Caller(String daemon) {
        this.daemon = daemon;
    }

    /** Sends a request in the background; the caller leaves after {@code patienceMillis} without a byte. */
    Caller send(String address, String head, byte[] body, int patienceMillis) {
        thread = new Thread(() -> {
            try (Socket socket = new Socket(address.substring(0, address.lastIndexOf(':')),
                Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)))) {
                socket.setSoTimeout(patienceMillis);
                exchange(socket, head, body);
            } catch (java.net.SocketTimeoutException exception) {
                left = true;
                end = "the caller left";
            } catch (IOException exception) {
                end = exception.getMessage();
            }
            endedAt = Record.seconds();
            finished = true;
            Record.line("caller: %s at %s ended: status %d, %d events, %s%s", attempt, daemon, status, events,
                complete ? "complete" : "not complete", end == null || end.isEmpty() ? "" : " (" + end + ")");
        });
        thread.setDaemon(true);
        thread.start();
        return this;
    }

    void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    private void exchange(Socket socket, String head, byte[] body) throws IOException {
        var out = socket.getOutputStream();
        out.write((head + "X-Attempt-Id: " + attempt + "\r\nAuthorization: Bearer " + Lab.KEY + "\r\n"
            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n").getBytes());
        out.write(body);
        out.flush();
        sentAt = Record.seconds();
        Record.line("caller: %s sent to %s: %s", attempt, daemon, head.substring(0, head.indexOf('\r')));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Message response = Message.readHead(in);
        if (response == null) {
            end = "the channel closed with no answer";
            return;
        }
        status = response.status();
        if (response.header("content-length") != null) {
            int length = Integer.parseInt(response.header("content-length"));
            bytes = in.readNBytes(length).length;
            complete = bytes == length;
            return;
        }
        for (byte[] chunk = Message.readChunk(in); chunk.length > 0; chunk = Message.readChunk(in)) {
            bytes += chunk.length;
            count(new String(chunk));
        }
        complete = true;
    }

    /** Counts the events, whose ids have to increase by one. */
    private void count(String text) {
        for (String line : text.split("\n")) {
            if (line.startsWith("id: ")) {
                int id = Integer.parseInt(line.substring(4).trim());
                isInOrder = isInOrder && id == events + 1;
                events += 1;
            }
        }
    }

    /** The head of a prompt's request without its id and key; {@code kind} is the first part of its path. */
    static String prompt(String kind, int number, long promptTokens, long answerTokens, int deadlineMillis) {
        return "POST /" + kind + "/" + number + " HTTP/1.1\r\nHost: tour.example\r\nX-Deadline-Ms: " + deadlineMillis
            + "\r\nX-Model: m\r\nX-Token-Counts: " + promptTokens + "," + answerTokens + "\r\nX-Prompt-Prefix: "
            + String.format("%08x:40,%08x:%d", 0xabc00000 + number % 60, 0xdef00000 + number, promptTokens - 40)
            + "\r\n";
    }
}
