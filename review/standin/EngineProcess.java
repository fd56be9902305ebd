import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;

/** An engine in a process of its own, so that it can be killed. */
final class EngineProcess implements AutoCloseable {
    final String id;
    final String service;
    final String zone;
    private final Process process;
    private final BufferedReader output;
    private final int port;
    private final long born = System.currentTimeMillis();

    EngineProcess(String id, String service, String zone, int unframedEvery) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-cp", "target/review",
            "EngineProcess", id, service, zone, String.valueOf(unframedEvery))
            .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        output = new BufferedReader(new InputStreamReader(process.getInputStream()));
        port = Integer.parseInt(output.readLine());
        Record.line("%s: process %d", id, process.pid());
    }

    /** Runs an engine; arguments are its id, service, zone and how rarely an answer has no length. */
    public static void main(String[] arguments) throws Exception {
        Engine engine = new Engine(arguments[0], arguments[1], arguments[2]);
        engine.unframedEvery = Integer.parseInt(arguments[3]);
        System.out.println(engine.port());
        System.in.read();
    }

    void register(Store store) {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
            + "\",\"zone\":\"" + zone + "\",\"version\":1,\"slots\":11,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"seq\":1,\"born\":" + born + "}");
    }

    /** The next line that the engine prints. */
    String nextLine() throws IOException {
        return output.readLine();
    }

    void kill() {
        Record.line("%s: SIGKILL", id);
        process.destroyForcibly();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
