import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound server: it checks the expected instance, echoes the attempt's id and signs its answers. */
abstract class Server implements AutoCloseable {
    /** The ids of all requests that reached a server. */
    static final Set<String> ARRIVED = ConcurrentHashMap.newKeySet();

    final String id;
    final String service;
    final String zone;
    final int slots;
    private final ServerSocket listening;
    private final long born = System.currentTimeMillis();

    Server(String id, String service, String zone, int slots) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        listening = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        background(this::accept);
    }

    /** Answers a request that this server shall run; the connection closes afterwards. */
    abstract void run(Message request, Socket socket) throws Exception;

    /** Answers a request for orders or reports. */
    void control(Message request, Socket socket) throws Exception {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    }

    void register(Store store, String state, long coldMillis) {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
            + listening.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":1,\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":" + coldMillis + ",\"seq\":1,\"born\":" + born + "}");
    }

    int port() {
        return listening.getLocalPort();
    }

    String signed(Message request) {
        return "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Server-Stamp: stamp-of-" + id + "\r\n";
    }

    static void send(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes());
        out.flush();
    }

    static void background(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            listening.close();
        } catch (IOException exception) {
            Record.line("%s: %s", id, exception);
        }
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                background(() -> serve(socket));
            } catch (IOException exception) {
                // The server was closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Message request = Message.readRequest(new BufferedInputStream(socket.getInputStream()));
            if (request == null) {
                return;
            }
            String path = request.firstLine.split(" ")[1];
            String attempt = request.header("x-attempt-id");
            if (path.equals("/order") || path.equals("/report")) {
                control(request, socket);
            } else if (!id.equals(request.header("x-expect-instance"))) {
                send(socket, "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            } else {
                ARRIVED.add(attempt);
                Record.line("%s: gets %s (%s)", id, attempt, request.firstLine);
                run(request, socket);
                Record.line("%s: has ended %s", id, attempt);
            }
        } catch (Exception exception) {
            Record.line("%s: a connection ended: %s", id, exception);
        }
    }
}
