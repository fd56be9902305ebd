import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A model engine that streams short answers. A prompt with the part [poison] crashes it as it begins to write: all its
 * connections are cut, or it goes dark: they stay open and silent, and new ones are refused. It is back after some
 * seconds, under the id that it had or under a new one, and after it was dark at a new address.
 */
final class Engine {
    static final String SERVICE = "huvo11a";
    private static final int PREFILL_MILLIS = 30;
    private static final int EVENTS = 5;
    private static final int PAUSE_MILLIS = 20;
    private static final int DOWN_MILLIS = 2_500;
    private static final int COLD_MILLIS = 3_000;

    /** A request with the poisonous part that reached an engine. */
    record Arrival(String attempt, long nanos) {
    }

    private final String name;
    private final String zone;
    private final String poison;
    private final boolean keepsId;
    private final boolean dark;
    private final Platform platform;
    private final Record record;
    private int port;
    private final List<Arrival> arrivals;
    private final List<Long> crashes;
    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket listener;
    private int starts;
    private volatile long life;
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

    Engine(String name, String zone, String poison, boolean keepsId, boolean dark, Platform platform, Record record,
        List<Arrival> arrivals, List<Long> crashes) throws Exception {
        this.name = name;
        this.zone = zone;
        this.poison = poison;
        this.keepsId = keepsId;
        this.dark = dark;
        this.platform = platform;
        this.record = record;
        this.arrivals = arrivals;
        this.crashes = crashes;
        port = Entry.freePort("127.0.0.1");
        start(0);
    }

    private String id() {
        return keepsId ? name : name + "-" + starts;
    }

    private synchronized void start(int coldMillis) throws Exception {
        starts += 1;
        life += 1;
        if (dark) port = Entry.freePort("127.0.0.1");
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        listener = socket;
        platform.put("keyed.servers", id(), "{\"service\":\"" + SERVICE + "\",\"address\":\"127.0.0.1:" + port
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":11,\"state\":\"ready\",\"cold_remaining_ms\":"
            + coldMillis + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":"
            + System.currentTimeMillis() + ",\"seq\":0}");
        long current = life;
        Task.start("engine " + id(), () -> {
            while (true) {
                Socket accepted = socket.accept();
                synchronized (this) {
                    sockets.add(accepted);
                }
                Task.start("call at " + name, () -> serve(accepted, current));
            }
        });
    }

    private void serve(Socket socket, long current) throws Exception {
        try {
            Message request = Message.read(socket.getInputStream());
            if (request == null) return;
            if (isSilent(socket)) return;
            String attempt = request.find("X-Attempt-Id");
            String expected = request.find("X-Expect-Instance");
            if (request.target().startsWith("/report") || request.target().startsWith("/order")) {
                new Message("HTTP/1.1 200 OK").with("Content-Type", "application/json").body("{\"free\":315000}")
                    .write(socket.getOutputStream());
                return;
            }
            if (expected != null && !expected.equals(id())) {
                new Message("HTTP/1.1 421 Misdirected Request").with("X-Instance-Id", id())
                    .write(socket.getOutputStream());
                return;
            }
            String prefix = String.valueOf(request.find("X-Prompt-Prefix"));
            boolean isPoisonous = prefix.contains(poison);
            if (isPoisonous) {
                arrivals.add(new Arrival(attempt, System.nanoTime()));
                record.add("engine " + id() + " gets " + attempt + " with the part " + poison);
            }
            Thread.sleep(PREFILL_MILLIS);
            if (isPoisonous) crash(current);
            if (isSilent(socket) || current != life) return;
            StringBuilder events = new StringBuilder();
            for (int i = 1; i <= EVENTS; i++) events.append("id: " + i + "\ndata: t" + i + "\n\n");
            Thread.sleep(EVENTS * PAUSE_MILLIS);
            if (isSilent(socket) || current != life) return;
            record.ran(attempt, id());
            new Message("HTTP/1.1 200 OK").with("X-Attempt-Id", attempt).with("X-Server-Stamp", id() + "." + attempt)
                .with("Content-Type", "text/event-stream").body(events.toString()).write(socket.getOutputStream());
        } finally {
            if (!isSilent(socket)) socket.close();
        }
    }

    /** Whether [socket] belongs to a machine that went dark: it stays open and gives no sign any more. */
    private boolean isSilent(Socket socket) {
        return silent.contains(socket);
    }

    private synchronized void crash(long current) throws Exception {
        if (current != life) return;
        life += 1;
        crashes.add(System.nanoTime());
        record.add("engine " + id() + (dark ? " goes dark" : " crashes"));
        listener.close();
        if (dark) {
            silent.addAll(sockets);
        } else {
            for (Socket socket : sockets) {
                if (socket.isClosed()) continue;
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
        sockets.clear();
        String lastId = id();
        Task.start("restart of " + name, () -> {
            Thread.sleep(DOWN_MILLIS);
            if (!keepsId) platform.put("keyed.servers", lastId, null);
            start(COLD_MILLIS);
            record.add("engine " + id() + " is back");
        });
    }
}
