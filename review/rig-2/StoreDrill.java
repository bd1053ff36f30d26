import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine joins while the store comes back from a copy that still has a key that was taken away. */
final class StoreDrill {
    private static final double REVOKE_S = 5.0;
    private static final double COPY_AGE_S = 6.5;

    /** The time after which the operator has written again what the store has lost. */
    private static final double REWRITE_S = 1.5;

    /** How long before the store is back the new machine starts; a Java process needs some tenths to make its first call. */
    private static final double START_BEFORE_S = 0.0;
    private static final String KEPT_KEY = "n2ctnfzs989anu6wsjnb";
    private static final String LOST_KEY = "anfqasnmgkcuyj8pjbvk";

    private static volatile double boundAt = Double.MAX_VALUE;
    private static final AtomicInteger late = new AtomicInteger();
    private static final java.util.Set<String> lateIds = java.util.concurrent.ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Rig.exitWith(() -> run(arguments[0]));
    }

    private static String configuration(int version, String keys) {
        return Rig.configuration(version, List.of(Rig.route("booking", "/booking/", "non_idempotent", 4_000, "booking-app", 1, false)),
            List.of(Rig.service("booking-app", 110)), "[{\"name\":\"hule930\",\"api_keys\":[" + keys + "],\"priority\":1}]");
    }

    private static int run(String folder) throws Exception {
        try (Rig rig = new Rig(folder)) {
            Store store = new Store(true);
            int storePort = store.start();
            List<String> zones = List.of("fi-south-a", "fi-south-b", "fi-south-c");
            store.put("config", "main", configuration(7, "\"" + KEPT_KEY + "\",\"" + LOST_KEY + "\""));
            for (String zone : zones) {
                Server server = new Server(rig, "i-" + zone, 60) {
                    @Override
                    void ran(Http.Message request) {
                        String id = request.header("X-Attempt-Id");
                        if (lateIds.contains(id)) late.incrementAndGet();
                        rig.note("%s runs %s%s", this.id, id, lateIds.contains(id) ? " LATE" : "");
                    }
                };
                store.put("servers", server.id, Rig.serverEntry("booking-app", server.port, zone, 6, "ready"));
                rig.addRouter("front-" + zone + "-1", zone, storePort);
            }
            if (!rig.startAll()) return Rig.NOT_RUN;
            Rig.Counts kept = new Rig.Counts();
            Rig.Counts lost = new Rig.Counts();
            for (Rig.Router router : rig.routers()) {
                clients(rig, router, KEPT_KEY, kept, 100);
                clients(rig, router, LOST_KEY, lost, 100);
            }
            Thread.sleep(3_000);

            long copy = store.revision();
            store.put("config", "main", configuration(8, "\"" + KEPT_KEY + "\""));
            double revokedAt = rig.now();
            boundAt = revokedAt + REVOKE_S;
            rig.note("the store has acknowledged version 8, which takes a key away");
            rig.sleepUntil(revokedAt + COPY_AGE_S - START_BEFORE_S);
            rig.note("so far: key that stays %s, key that was taken away %s", kept, lost);
            Rig.Counts keptThere = new Rig.Counts();
            Rig.Counts lostThere = new Rig.Counts();
            Rig.Router added = rig.addRouter("front-fi-south-a-2", "fi-south-a", storePort);
            added.start();
            clients(rig, added, KEPT_KEY, keptThere, 20);
            clients(rig, added, LOST_KEY, lostThere, 20);
            rig.sleepUntil(revokedAt + COPY_AGE_S);
            if (rig.trouble) {
                store.stepBack(copy);
                rig.note("the store is back from a copy that is %.1f s old", rig.now() - revokedAt);
                Thread.sleep((long) (REWRITE_S * 1_000));
                store.put("config", "main", configuration(8, "\"" + KEPT_KEY + "\""));
                rig.note("the operator has written version 8 again");
            }
            Thread.sleep(4_000);
            rig.note("in all, at the first machines: key that stays %s, key that was taken away %s", kept, lost);
            rig.note("at the machine that joined: key that stays %s, key that was taken away %s", keptThere, lostThere);
            if (!keptThere.toString().contains("200")) return Rig.NOT_RUN;
            rig.note("requests that ran with the key, sent later than %.1f s after the acknowledgement: %d", REVOKE_S, late.get());
            rig.note("CONFIG (strict_revoke): %s", late.get() > 0 ? "BROKEN" : "held");
            return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
        }
    }

    private static void clients(Rig rig, Rig.Router router, String key, Rig.Counts counts, int everyMs) {
        Rig.spawn(() -> {
            while (true) {
                Rig.spawn(() -> {
                    String id = rig.id();
                    if (key.equals(LOST_KEY) && rig.now() > boundAt) lateIds.add(id);
                    Http.Message answer = Http.call(router.front, "POST /booking/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: "
                        + id + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Token " + key + "\r\nConnection: close\r\nContent-Length: 4\r\n\r\n",
                        "book".getBytes(), 4_500);
                    String result = answer == null ? "none" : Integer.toString(answer.status());
                    counts.add(result);
                    rig.note("%s with key %s to %s: %s", id, key.substring(0, 4), router.name, result);
                });
                try {
                    Thread.sleep(everyMs);
                } catch (InterruptedException stopped) {
                    return;
                }
            }
        });
    }
}
