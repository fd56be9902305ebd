import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry daemon: the program and the arguments of the deploy file, with settings as the platform renders them. */
final class Entry {
    final String host;
    final int frontPort;
    private final int readyPort;
    private final Process process;
    private final Path folder;

    Entry(Path top, String name, String host, String zone, String store, List<String> seeds, int peerPort)
        throws Exception {
        this.host = host;
        frontPort = freePort(host);
        readyPort = freePort(host);
        folder = Files.createTempDirectory("review-2-");
        Path settings = folder.resolve("local.yaml");
        Files.writeString(settings, String.join("\n",
            "[daemon]", "name = " + name, "data-centre = " + zone, "grace-seconds = 8",
            "[forward]", "listen = " + host + ":" + frontPort, "readiness = " + host + ":" + readyPort,
            "directory = " + host + ":" + freePort(host), "metrics = " + host + ":" + freePort(host),
            "directory-keep-seconds = 1", "reservation-free-milliseconds = 4000", "retry-ratio = 0.2",
            "retry-slack = 102",
            "[peers]", "listen = " + host + ":" + peerPort, "seeds = " + String.join(",", seeds),
            "[store]", "address = " + store,
            "[vm]", "processor-share = 0.75", "processor-speed = 1", "memory-megabytes = 430", "descriptors = 4100",
            "link-megabits = 1000.0", ""));
        String deploy = Files.readString(top.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no run command in the deploy file");
        List<String> command = Arrays.stream(run.group(1).split(" "))
            .map(word -> word.equals("/etc/bulrushtack/local.yaml") ? settings.toString() : word).toList();
        ProcessBuilder builder = new ProcessBuilder(command).directory(top.toFile());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** A port of [host] that is free now. */
    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** A port that is free now on all of [hosts], since daemons share the port for their peers. */
    static int freePort(List<String> hosts) throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = freePort(hosts.get(0));
            if (hosts.stream().allMatch(host -> isFree(host, port))) return port;
        }
        throw new IOException("no port is free on all addresses");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }

    /** Waits until the daemon says that it is ready. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 300; i++) {
            try (Socket socket = new Socket(host, readyPort)) {
                socket.setSoTimeout(1000);
                new Message("GET /readyz HTTP/1.1").with("Host", "ready").write(socket.getOutputStream());
                Message response = Message.read(socket.getInputStream());
                if (response != null && response.status() == 200) return;
            } catch (IOException notYet) {
                if (!process.isAlive()) throw new IOException("the daemon ended: " + log());
            }
            Thread.sleep(100);
        }
        throw new IOException("the daemon is not ready: " + log());
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private void end() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) Arrays.stream(files).forEach(File::delete);
        folder.toFile().delete();
    }
}
