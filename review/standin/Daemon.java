import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon of the project in a process of its own, with the command and the settings template of the deploy folder. */
final class Daemon implements AutoCloseable {
    /** The places of the ports that all machines share. */
    private static final int FRONT = 0;
    private static final int READY = 1;
    private static final int DIRECTORY = 2;
    private static final int METRICS = 3;
    private static final int PEER = 4;
    private static final int PORTS = 5;

    final String name;
    final String ip;
    private final int[] ports;
    private final Path settings;
    private final Path log;
    private Process process;

    Daemon(String name, String ip, String zone, int[] ports, String seeds, Store store, Path folder)
        throws IOException {
        this.name = name;
        this.ip = ip;
        this.ports = ports;
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".ini");
        Map<String, String> fields = new TreeMap<>(Map.of(
            "node", name, "zone", zone, "ip", ip, "seeds", seeds, "platform.address", store.address(),
            "listen.front", ip + ":" + ports[FRONT], "listen.ready", ip + ":" + ports[READY],
            "listen.directory", ip + ":" + ports[DIRECTORY]));
        fields.putAll(Map.of("bounds.grace_s", "8", "bounds.free_ms", "4000", "bounds.retry_budget_ratio", "0.2",
            "bounds.retry_budget_slack", "102"));
        String text = Files.readString(Path.of("deploy/daemon.ini"));
        Matcher matcher = Pattern.compile("\\{\\{([^}]+)}}").matcher(text);
        text = matcher.replaceAll(match -> Matcher.quoteReplacement(fields.get(match.group(1))));
        text = text.replace(ip + ":7341", ip + ":" + ports[METRICS]).replace(ip + ":7340", ip + ":" + ports[PEER]);
        Files.writeString(settings, text);
    }

    /** Free ports, the same for all machines; {@code host} is one of their addresses. */
    static int[] freePorts(String host) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
        }
        int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Starts the process. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        command.set(command.size() - 1, settings.toString());
        process = new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
        Record.line("%s: started on %s, process %d", name, ip, process.pid());
    }

    /** Waits until the daemon says that it is ready. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 600; i++) {
            try {
                var connection = (HttpURLConnection) URI.create("http://" + ip + ":" + ports[READY] + "/readyz")
                    .toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                if (connection.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException exception) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " did not become ready");
    }

    /** Asks this daemon's directory for addresses; null when it gives none. */
    String resolve() {
        try {
            var connection = (HttpURLConnection) URI.create(
                "http://" + ip + ":" + ports[DIRECTORY] + "/resolve?name=tour.example&region=akl&zone=akl-a")
                .toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200
                ? new String(connection.getInputStream().readAllBytes()) : null;
        } catch (IOException exception) {
            return null;
        }
    }

    String front() {
        return ip + ":" + ports[FRONT];
    }

    int frontPort() {
        return ports[FRONT];
    }

    void terminate() throws Exception {
        Record.line("%s: SIGTERM", name);
        new ProcessBuilder("kill", "-TERM", String.valueOf(process.pid())).start().waitFor();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
        if (ended) {
            Record.line("%s: ended with %d", name, process.exitValue());
        }
        return ended;
    }

    /** The lines of the daemon's log that contain {@code text}. */
    List<String> lastLines(String text) throws IOException {
        return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
