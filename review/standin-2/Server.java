import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;

/** A plain server: it runs one request at a time on a connection and at most [slots] at once. */
final class Server {
    /** Decides how a request that ran is answered. */
    interface Answer {
        Message of(Message request, String attempt) throws Exception;
    }

    final String id;
    final String zone;
    final ServerSocket listener;
    private final Record record;
    private final int workMillis;
    private final Semaphore slots = new Semaphore(6);
    private final List<Socket> sockets = new ArrayList<>();
    volatile Answer answer = this::success;
    volatile boolean leaving;
    private volatile boolean exited;

    Server(String id, String zone, int workMillis, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.workMillis = workMillis;
        this.record = record;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Task.start("server " + id, () -> {
            while (true) {
                Socket socket = listener.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                Task.start("call at " + id, () -> serve(socket));
            }
        });
    }

    String entry(String service, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"zone\":\""
            + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
            + "\",\"cold_remaining_ms\":0,\"born\":1790000000000,\"seq\":1}";
    }

    Message success(Message request, String attempt) {
        return stamped("HTTP/1.1 200 OK", attempt).body("done " + attempt);
    }

    Message stamped(String start, String attempt) {
        Message message = new Message(start).with("X-Attempt-Id", attempt).with("X-Server-Stamp", id + "." + attempt);
        return leaving ? message.with("Server-Leaving", 1) : message;
    }

    /** Ends the process that this stands for: connections are cut. */
    void exit() throws IOException {
        exited = true;
        listener.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                if (socket.isClosed()) continue;
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            for (Message request = Message.read(socket.getInputStream()); request != null;
                request = Message.read(socket.getInputStream())) {
                if (exited) return;
                String attempt = request.find("X-Attempt-Id");
                String expected = request.find("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    new Message("HTTP/1.1 421 Misdirected Request").with("X-Instance-Id", id)
                        .write(socket.getOutputStream());
                    continue;
                }
                record.add("server " + id + " gets " + attempt + (leaving ? " (it is leaving)" : ""));
                record.arrived(attempt, id);
                slots.acquire();
                try {
                    record.ran(attempt, id);
                    Thread.sleep(workMillis);
                } finally {
                    slots.release();
                }
                Message response = answer.of(request, attempt);
                record.add("server " + id + " has run " + attempt + " and answers " + response.status());
                response.write(socket.getOutputStream());
            }
        }
    }
}
