import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of sixteen servers are emptied and taken away at the same time. They report that they drain, serve on for some
 * seconds, and exit. The ids of the servers are drawn anew in each run. The two that leave are chosen so that the digest
 * of all entries, which routers compare with each other, stays the same: about one pair in fifty.
 */
public final class Case4 {
    private static final int SERVERS = 16;
    private static final int DRAIN_MS = 2_000;
    /** "It continues serving for drain_ms after the store has accepted that report and a little longer (at times many seconds)". */
    private static final int SERVES_ON_MS = 8_000;
    private static final int CLIENTS = 4;
    private static final int RUN_MS = 16_000;

    private Case4() {
    }

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0], arguments[1]);
        Store store = new Store(rig.host(200));
        Map<String, Long> drainingAt = new ConcurrentHashMap<>();
        Map<String, String> lateRuns = new ConcurrentHashMap<>();
        List<Backend> servers = new ArrayList<>();
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < SERVERS; i++) {
            String id = String.format("i-%08x", random.nextInt());
            Backend server = new Backend(rig, id, "booking-app", "fi-south-" + "abc".charAt(i % 3),
                rig.host(100 + i), 0) {
                @Override
                void arrived(String request, byte[] body) {
                    Long draining = drainingAt.get(this.id);
                    if (draining != null && rig.now() > draining + DRAIN_MS) {
                        lateRuns.put(request, this.id);
                        rig.record("late", this.id, request, "reached it", rig.now() - draining,
                            "ms after its entry said draining");
                    }
                }
            };
            servers.add(server);
            store.put("servers", server.id, server.entry());
        }
        store.put("config", "main", Config.main(1));
        for (String zone : "aaaabbccc".split("")) {
            rig.declare("fi-south-" + zone);
        }
        for (Rig.Router router : rig.routers) {
            rig.start(router, store);
        }
        if (!rig.awaitReady(30)) {
            rig.finish(Rig.COULD_NOT_RUN, "the routers were not ready in time");
        }
        Rig.sleep(6_000);

        long end = rig.now() + RUN_MS;
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < CLIENTS * rig.routers.size(); k++) {
            int number = k;
            clients.add(new Thread(() -> {
                try (Client client = new Client(rig.routers.get(number % rig.routers.size()))) {
                    for (int i = 0; rig.now() < end; i++) {
                        String id = "b" + number + "-" + i;
                        Client.Answer answer = client.send("POST", "/book/x", id, 4_000, Config.AUTHORIZATION,
                            new byte[600]);
                        boolean good = answer.failure == null && answer.status == 200;
                        (good ? answered : lost).incrementAndGet();
                        if (!good) {
                            rig.record("lost", id, answer, "late at " + lateRuns.get(id));
                        }
                        Rig.sleep(25);
                    }
                }
            }));
            clients.get(k).start();
        }
        Rig.sleep(2_000);
        List<Backend> leaving = choose(store, servers);
        // Configurations come and go; each changes the revision, and so which pairs keep the digest.
        for (int version = 2; leaving.isEmpty() && version < 20; version++) {
            store.put("config", "main", Config.main(version));
            Rig.sleep(100);
            leaving = choose(store, servers);
        }
        if (leaving.isEmpty()) {
            rig.finish(Rig.COULD_NOT_RUN, "no pair of servers keeps the digest");
        }
        Rig.sleep(1_000);
        if (Rig.TROUBLE) {
            for (Backend server : leaving) {
                server.state = "draining";
                store.put("servers", server.id, server.entry());
                drainingAt.put(server.id, rig.now());
            }
            for (Backend server : leaving) {
                rig.record("draining", server.id, "at", drainingAt.get(server.id), "ms, revision",
                    store.revisionOf("servers", server.id));
                Rig.daemon("exit", () -> {
                    Rig.sleep(SERVES_ON_MS);
                    rig.record("exit", server.id);
                    store.remove("servers", server.id);
                    server.exit();
                });
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Rig.Router router : rig.routers) {
            for (Backend server : leaving) {
                rig.log(router, "endpoint_changed").stream().filter(line -> line.contains(server.id))
                    .forEach(line -> rig.record("log", line));
            }
        }
        rig.finish(lateRuns.isEmpty() ? Rig.HELD : Rig.BROKEN, lateRuns.size() + " bookings reached a server later than "
            + DRAIN_MS + " ms after the store had accepted that it drains; " + answered.get()
            + " bookings were answered, " + lost.get() + " were not");
    }

    /** Two servers whose next two changes keep the sum that routers compare; none if there are no such two. */
    private static List<Backend> choose(Store store, List<Backend> servers) {
        long next = store.revision() + 1;
        for (Backend first : servers) {
            for (Backend second : servers) {
                int change = change(store, first, next) + change(store, second, next + 1);
                if (first != second && change == 0) {
                    return List.of(first, second);
                }
            }
        }
        return List.of();
    }

    /** By how much the sum of (hash of the name) xor (revision) changes if [server]'s entry gets [revision]. */
    private static int change(Store store, Backend server, long revision) {
        int name = server.id.hashCode();
        return (name ^ Long.hashCode(revision)) - (name ^ Long.hashCode(store.revisionOf("servers", server.id)));
    }
}
