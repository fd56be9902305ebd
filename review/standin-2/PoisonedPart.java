import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Short prompts through three daemons to some engines. From some time on, some prompts hold a part that crashes each
 * engine that begins to write an answer on it. The rule is broken if more than three requests with that part reach
 * engines later than stable_window_ms after the fifth crash. The third argument says how the engines crash: "dark",
 * without a sign and back under a new id; "same", with all connections cut and back under the id that they had;
 * "plain", with all connections cut and back under a new id. The fourth is the number of engines.
 */
final class PoisonedPart {
    private static final String POISON = "bad0bad0";
    private static final int DAEMONS = 3;
    private static final int STABLE_WINDOW_MILLIS = 3_000;
    private static final int MAXIMUM_LATE = 3;
    private static final int POISON_FROM_MILLIS = 4_000;
    private static final int LENGTH_MILLIS = 40_000;
    private static final int GAP_MILLIS = 100;
    private static final int POISONOUS_EVERY = 5;
    private static final int DEADLINE_MILLIS = 10_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            try {
                code = run(Path.of(arguments[0]), trouble, arguments[2], Integer.parseInt(arguments[3]), record);
            } catch (Exception failure) {
                record.add("could not run: " + failure);
                failure.printStackTrace();
            }
        }
        System.exit(code);
    }

    private static int run(Path top, boolean trouble, String crash, int engines, Record record)
        throws Exception {
        List<Engine.Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
        Deployment deployment = new Deployment(top, DAEMONS, 20, record);
        boolean keepsIds = crash.equals("same");
        boolean isDark = crash.equals("dark");
        List<String> zones = List.of("akl-a", "akl-b", "akl-c");
        for (int i = 0; i < engines; i++) {
            new Engine("i-e" + i + "3a91c2", zones.get(i % zones.size()), POISON, keepsIds, isDark,
                deployment.platform, record, arrivals, crashes);
        }
        deployment.platform.put("keyed.op", "config", configuration());
        Thread.sleep(3_000);
        long startNanos = System.nanoTime();
        List<Thread> callers = new ArrayList<>();
        int[] sound = new int[2];
        for (int i = 0; (System.nanoTime() - startNanos) / 1_000_000 < LENGTH_MILLIS; i++) {
            String attempt = String.format("%016x", 0x9c41d07be2000000L + i);
            boolean isTime = (System.nanoTime() - startNanos) / 1_000_000 >= POISON_FROM_MILLIS;
            boolean isPoisonous = trouble && isTime && i % POISONOUS_EVERY == 0;
            Entry entry = deployment.entries.get(i % DAEMONS);
            callers.add(Task.start("caller", () -> {
                int status = ask(entry, attempt, isPoisonous, record);
                if (isPoisonous) return;
                synchronized (sound) {
                    sound[0] += 1;
                    if (status == 200) sound[1] += 1;
                }
            }));
            Thread.sleep(GAP_MILLIS);
        }
        for (Thread caller : callers) caller.join(DEADLINE_MILLIS);
        long fifthNanos = crashes.size() < 5 ? Long.MAX_VALUE / 2 : crashes.get(4);
        int late = 0;
        for (Engine.Arrival arrival : new ArrayList<>(arrivals)) {
            long millis = (arrival.nanos() - fifthNanos) / 1_000_000;
            if (millis <= STABLE_WINDOW_MILLIS) continue;
            late += 1;
            record.add("BUDGET: " + arrival.attempt() + " with the part " + POISON + " reached an engine " + millis
                + " ms after the fifth crash");
        }
        return record.verdict(late > MAXIMUM_LATE, crashes.size() + " crashes; " + late
            + " requests with the part that crashes engines reached engines later than " + STABLE_WINDOW_MILLIS
            + " ms after the fifth; " + sound[1] + " of " + sound[0] + " sound requests were answered whole");
    }

    private static int ask(Entry entry, String attempt, boolean isPoisonous, Record record) {
        int status = 0;
        String end = "";
        String body = "";
        try (Socket socket = new Socket(entry.host, entry.frontPort)) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            record.add("caller sends " + attempt + (isPoisonous ? " with the part " + POISON : ""));
            String parts = "5c1e07a2:40," + (isPoisonous ? POISON + ":100," : "") + attempt + ":4820";
            new Message("POST /lohu930/2f HTTP/1.1").with("Host", Caller.HOST).with("X-Attempt-Id", attempt)
                .with("X-Model", "m").with("X-Token-Counts", "4960,1650").with("X-Prompt-Prefix", parts)
                .with("X-Deadline-Ms", DEADLINE_MILLIS).with("Authorization", "Bearer " + Caller.KEY)
                .body("ask " + attempt).write(socket.getOutputStream());
            Message response = Message.read(socket.getInputStream());
            status = response == null ? 0 : response.status();
            if (status != 200 && response != null) body = kind(response);
        } catch (IOException failure) {
            end = " (" + failure.getMessage() + ")";
        }
        record.add("caller gets " + status + " for " + attempt + end + (body.isEmpty() ? "" : ", " + body));
        return status;
    }

    /** The kind of problem that a daemon's own response names. */
    private static String kind(Message response) {
        String text = new String(response.body, StandardCharsets.UTF_8);
        int start = text.indexOf("\"kind\":\"");
        return start < 0 ? "" : text.substring(start + 8, text.indexOf('"', start + 8));
    }

    private static String configuration() {
        String route = "{\"name\":\"r-2yhvz3p\",\"host\":\"" + Caller.HOST + "\",\"path_prefix\":\"/lohu930/\","
            + "\"kind\":\"stream\",\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":1,\"service\":\""
            + Engine.SERVICE + "\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
            + "\"gap_target_ms\":250},";
        String service = "{\"name\":\"" + Engine.SERVICE + "\",\"health_path\":\"/healthz\",\"max_connections\":294,"
            + "\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":26.0,\"engine\":{\"slots\":11,"
            + "\"kv_tokens\":315000,\"token_kv_bytes\":163840,\"stride\":51,\"models\":[{\"name\":\"m\"}],"
            + "\"step_ms\":0.85,\"per_seq_ms\":0.006,\"context_per_k\":0.00285,\"read_per_s\":177000.0,"
            + "\"pairs_per_m\":0.184,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":11112,"
            + "\"answer\":1622},\"hop_ms\":0.05}},";
        return Caller.configuration(8).replace("\"routes\":[", "\"routes\":[" + route)
            .replace("\"services\":[", "\"services\":[" + service);
    }
}
