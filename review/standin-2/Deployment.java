import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback addresses: the store, three plain servers and some entry daemons. */
final class Deployment {
    static final String SERVICE = "wuno96b";
    private static final List<String> ZONES = List.of("akl-a", "akl-b", "akl-c");

    /** A script has 120 s; one that a slow machine holds up for so long could not run. */
    private static final int TIME_LIMIT_MILLIS = 115_000;
    private static final int COULD_NOT_RUN = 2;

    final Platform platform = new Platform();
    final List<Server> servers = new ArrayList<>();
    final List<Platform.Link> links = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();

    Deployment(Path top, int daemons, int workMillis, Record record) throws Exception {
        Task.start("time limit", () -> {
            Thread.sleep(TIME_LIMIT_MILLIS);
            record.add("could not run: the time is over");
            System.exit(COULD_NOT_RUN);
        });
        for (int i = 0; i < ZONES.size(); i++) {
            Server server = new Server("i-" + (i + 1) + "f3a91c2", ZONES.get(i), workMillis, record);
            servers.add(server);
            platform.put("keyed.servers", server.id, server.entry(SERVICE, "ready"));
        }
        platform.put("keyed.op", "config", Caller.configuration(7));
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < daemons; i++) hosts.add("127.0.0." + (i + 1));
        int peerPort = Entry.freePort(hosts);
        for (int i = 0; i < daemons; i++) {
            links.add(platform.new Link("127.0.0.1"));
            entries.add(new Entry(top, "front-" + (i + 1), hosts.get(i), ZONES.get(i % 3), links.get(i).address(),
                hosts, peerPort));
        }
        for (Entry entry : entries) entry.awaitReady();
        Thread.sleep(3000);
        record.add(daemons + " entry daemons are ready");
    }
}
