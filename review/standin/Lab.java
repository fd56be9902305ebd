import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A small deployment on loopback: a store, daemons and servers. */
final class Lab implements AutoCloseable {
    static final String KEY = "key-of-school";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long LONGEST_MILLIS = 115_000;

    final Store store;
    final List<Daemon> daemons = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    private final Path folder;

    /** Plays a case with {@code daemons} daemons, and ends with its result: 1 broken, 0 held, 2 not run. */
    static void play(String record, int daemons, Case play) throws Exception {
        Record.open(Path.of(record));
        Record.line("disruption: %s", TROUBLE ? "yes" : "no (TROUBLE=0)");
        Server.background(Lab::endInTime);
        int status = 2;
        try (Lab lab = new Lab(daemons)) {
            status = play.run(lab);
        } catch (Exception exception) {
            Record.line("the case could not run: %s", exception);
        }
        Record.line("result: %d", status);
        Runtime.getRuntime().exit(status);
    }

    /** Ends a script that hangs, with all that it started, within its 120 s. */
    private static void endInTime() {
        try {
            Thread.sleep(LONGEST_MILLIS);
            Record.line("the case could not run: it took too long");
            Runtime.getRuntime().exit(2);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** A case; returns its result. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** Creates {@code count} daemons; they start with {@link #start}. */
    Lab(int count) throws Exception {
        folder = Files.createTempDirectory("review");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        int[] ports = Daemon.freePorts("127.0.0.2");
        String seeds = IntStream.range(0, Math.min(3, count)).mapToObj(i -> "127.0.0." + (i + 2))
            .collect(Collectors.joining(","));
        for (int i = 0; i < count; i++) {
            String zone = "akl-" + "abc".charAt(i % 3);
            daemons.add(new Daemon("front-" + (i + 1), "127.0.0." + (i + 2), zone, ports, seeds, store, folder));
        }
    }

    /** Writes the configuration and the entries of the servers, starts the daemons and waits until they are ready. */
    void start(String configuration) throws Exception {
        store.put("keyed.op", "config", configuration);
        for (Server server : servers) {
            server.register(store, "ready", 0);
        }
        for (Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemon daemon : daemons) {
            daemon.awaitReady();
        }
        // The startup grace period, and time for the daemons to learn of one another.
        Thread.sleep(3_000);
        Record.line("all daemons are ready");
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
        servers.forEach(Server::close);
        store.close();
        if (Files.exists(folder)) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (Exception exception) {
                System.err.println("The temporary folder was not removed: " + exception);
            }
        }
    }

    /** The figures of the engines on the sheet of the smaller site. */
    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":294,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":26.0,\"engine\":{\"slots\":11,\"kv_tokens\":315000,"
            + "\"stride\":51,\"models\":[{\"name\":\"m\"}],\"step_ms\":0.85,\"per_seq_ms\":0.006181818181818182,"
            + "\"context_per_k\":0.00285,\"read_per_s\":177000.0,\"pairs_per_m\":0.184,\"chunk\":2048,"
            + "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":11112,\"answer\":1622},\"hop_ms\":0.05}}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}";
    }

    static String configuration(List<String> routes, List<String> services) {
        return "{\"version\":7,\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"school\","
            + "\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** The route of a stream on the sheet; {@code kind} is the first part of its paths. */
    static String streamRoute(String kind, String service, int timeoutMillis, int targetMillis, int gapMillis) {
        return "{\"name\":\"" + kind + "\",\"host\":\"tour.example\",\"path_prefix\":\"/" + kind
            + "/\",\"kind\":\"stream\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
            + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":2,\"public\":false,"
            + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":" + gapMillis + "}";
    }

    /** The routes of the three kinds of prompts on the sheet. */
    static List<String> promptRoutes(String service) {
        return List.of(streamRoute("brief", service, 10_000, 300, 250),
            streamRoute("dossier", service, 10_000, 1_500, 600), streamRoute("survey", service, 15_000, 3_000, 1_000));
    }
}
