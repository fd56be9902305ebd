import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store with keyed topics of one partition: appends, reads and lists of the newest records, 4 ms each.
 * Every machine gets an address of its own, so that one can be cut off from the store while the others reach it.
 */
final class Platform {
    private final Map<String, List<byte[]>> topics = new TreeMap<>();

    /** The way of one machine to the store. While it is cut, nothing is answered and nothing is done. */
    final class Link {
        final ServerSocket listener;
        private final List<Socket> sockets = new ArrayList<>();
        private volatile boolean cut;
        private volatile long serversReadNanos = Long.MIN_VALUE;

        Link(String host) throws IOException {
            listener = new ServerSocket(0, 256, InetAddress.getByName(host));
            Task.start("store " + host, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    Task.start("store call", () -> serve(socket));
                }
            });
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** When this machine last read the list of servers; the smallest number if it never did. */
        long serversReadNanos() {
            return serversReadNanos;
        }

        /** Cuts the machine off: its calls get no answer, and new connections stay silent too. */
        void cut() {
            cut = true;
        }

        /** Ends the cut. What was sent during the cut is lost with its connections. */
        void heal() throws IOException {
            synchronized (sockets) {
                for (Socket socket : sockets) socket.close();
                sockets.clear();
            }
            cut = false;
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                for (Message call = Message.read(socket.getInputStream()); call != null;
                    call = Message.read(socket.getInputStream())) {
                    while (cut && !socket.isClosed()) Thread.sleep(5);
                    if (socket.isClosed()) return;
                    Thread.sleep(4);
                    respond(call, socket);
                    if (call.target().contains("keyed.servers")) serversReadNanos = System.nanoTime();
                }
            }
        }
    }

    /** Appends the newest record of a key as the operator or a server does; null deletes it. Returns the time. */
    synchronized long put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
            .put((byte) keyBytes.length).put(keyBytes).put(valueBytes).array();
        topic(topic).add(record);
        return System.nanoTime();
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, each -> new ArrayList<>());
    }

    private synchronized void respond(Message call, Socket socket) throws IOException {
        String path = call.target().split("\\?")[0];
        Map<String, String> query = query(call.target());
        List<byte[]> records = topic(query.getOrDefault("topic", ""));
        Message response = new Message("HTTP/1.1 200 OK").with("Content-Type", "application/json");
        switch (path) {
            case "/log-append" -> {
                String at = query.get("at");
                if (at != null && Long.parseLong(at) != records.size()) {
                    response = new Message("HTTP/1.1 412 Precondition Failed").body("{\"end\":" + records.size() + "}");
                } else {
                    int offset = records.size();
                    ByteBuffer body = ByteBuffer.wrap(call.body);
                    while (body.hasRemaining()) {
                        byte[] record = new byte[body.getInt()];
                        body.get(record);
                        records.add(record);
                    }
                    response.body("{\"offset\":" + offset + ",\"end\":" + records.size() + "}");
                }
            }
            case "/log-read" -> {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                body.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
                for (int i = Integer.parseInt(query.get("from")); i < records.size(); i++) {
                    body.writeBytes(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
                    body.writeBytes(records.get(i));
                }
                response.body = body.toByteArray();
            }
            case "/log-newest" -> response.body(newest(records));
            default -> response = new Message("HTTP/1.1 400 Bad Request");
        }
        response.write(socket.getOutputStream());
    }

    private static String newest(List<byte[]> records) {
        Map<String, String> items = new TreeMap<>();
        for (int i = 0; i < records.size(); i++) {
            byte[] record = records.get(i);
            int keyBytes = record[0] & 0xff;
            String key = new String(record, 1, keyBytes, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyBytes, record.length);
            items.remove(key);
            if (value.length == 0) continue;
            String text = Base64.getEncoder().encodeToString(value);
            items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + text + "\",\"offset\":" + i + "}");
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + records.size()
            + "}";
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new TreeMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String pair : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        return query;
    }
}
