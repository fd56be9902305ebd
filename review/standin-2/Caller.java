import java.io.IOException;
import java.net.Socket;

/** Sends one attempt on a new connection. */
final class Caller {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String HOST = "ficu95.example";

    /** What the caller saw: when it sent, and the response, or null when there was none. */
    record Result(String attempt, long sentNanos, Message response) {
        int status() {
            return response == null ? 0 : response.status();
        }
    }

    private Caller() {
    }

    /** Sends a booking to [entry] with [deadlineMillis] left. */
    static Result book(Entry entry, String attempt, long deadlineMillis, Record record) {
        long sentNanos = System.nanoTime();
        Message response = null;
        String end = "";
        try (Socket socket = new Socket(entry.host, entry.frontPort)) {
            socket.setSoTimeout((int) Math.max(1, deadlineMillis));
            sentNanos = System.nanoTime();
            record.add("caller sends " + attempt + " to " + entry.host);
            new Message("POST /puxa403/2f HTTP/1.1").with("Host", HOST).with("X-Attempt-Id", attempt)
                .with("X-Deadline-Ms", deadlineMillis).with("Authorization", "Bearer " + KEY)
                .body("book " + attempt).write(socket.getOutputStream());
            response = Message.read(socket.getInputStream());
        } catch (IOException failure) {
            end = " (" + failure.getMessage() + ")";
        }
        Result result = new Result(attempt, sentNanos, response);
        String leaving = response != null && response.find("Server-Leaving") != null ? ", Server-Leaving" : "";
        String stamp = response == null ? null : response.find("X-Server-Stamp");
        record.add("caller gets " + result.status() + " for " + attempt + ", stamp " + stamp + leaving + end);
        return result;
    }

    /** The configuration: one unsafe route to the service of bookings. */
    static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-fi6y7z5\",\"host\":\"" + HOST
            + "\",\"path_prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":121,"
            + "\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":1,\"public\":false,\"sticky\":false,"
            + "\"resumable\":false}],\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/healthz\","
            + "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY
            + "\"],\"priority\":1}]}";
    }
}
