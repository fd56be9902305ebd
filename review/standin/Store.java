import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's store: keyed topics with one partition, appends, reads and the newest record of each key. */
final class Store implements AutoCloseable {
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final HttpServer server;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a record as its owner would. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        topic(topic).add(record.array());
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, any -> new ArrayList<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            query.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
        }
        byte[] body = exchange.getRequestBody().readAllBytes();
        switch (exchange.getRequestURI().getPath()) {
            case "/log-append" -> respond(exchange, append(query.get("topic"), body));
            case "/log-read" -> respond(exchange, read(query.get("topic"), Integer.parseInt(query.get("from"))));
            case "/log-newest" -> respond(exchange, newest(query.get("topic")));
            default -> {
                exchange.sendResponseHeaders(400, -1);
                exchange.close();
            }
        }
    }

    private synchronized byte[] append(String name, byte[] body) {
        List<byte[]> records = topic(name);
        int first = records.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
        }
        return ("{\"offset\":" + first + ",\"end\":" + records.size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(String name, int from) throws IOException {
        List<byte[]> records = topic(name);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(records.size());
        out.writeLong(0);
        for (int offset = from; offset < records.size(); offset++) {
            out.writeInt(records.get(offset).length);
            out.write(records.get(offset));
        }
        return bytes.toByteArray();
    }

    private synchronized byte[] newest(String name) {
        List<byte[]> records = topic(name);
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] record = records.get(offset);
            int keyLength = record[0] & 0xff;
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
            items.remove(key);
            if (value.length > 0) {
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                    + "\",\"offset\":" + offset + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + records.size()
            + "}").getBytes(StandardCharsets.UTF_8);
    }

    private static void respond(HttpExchange exchange, byte[] body) throws IOException {
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
