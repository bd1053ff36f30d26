import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A bad version is rolled back; the operator at once orders the roll-out of the version that mends it. */
final class NextVersion {
    private static final int DEADLINE = 4_000;
    private static final double BAD_SHARE = 0.35;
    private static final int DURATION_S = 12;

    /** "At rolled_back, the new servers drain some seconds later." */
    private static final int DRAIN_AFTER_MS = 6_000;
    private static final int ROLLBACK_MS = 5_000;
    private static final double CANARY_SHARE = 0.1;
    private static final int CANARY_SLACK = 50;
    private static final String[] ZONES = {"fi-south-a", "fi-south-b", "fi-south-c"};

    public static void main(String[] arguments) {
        Rig.play(arguments[0], NextVersion::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(Rig.route("booking", "/booking/", "non_idempotent", "booking-app", DEADLINE, 1));
        rig.put("config", "main", Rig.configuration(7, routes, List.of(Rig.service("booking-app", 0, 0))));
        List<long[]> arrivals = new java.util.concurrent.CopyOnWriteArrayList<>();
        Rig.Handler handler = (server, request, out) -> {
            boolean bad = server.version.equals("v2") && Math.random() < BAD_SHARE;
            arrivals.add(new long[] {request.at, server.version.equals("v2") ? 1 : 0, bad ? 1 : 0});
            Thread.sleep(40);
            out.answer(bad ? 500 : 200, server.headers(request), "answer to " + request.id());
        };
        List<Rig.Server> second = new ArrayList<>();
        for (String version : new String[] {"v1", "v2"}) {
            for (String zone : ZONES) {
                String id = "i-" + Rig.newId().substring(0, 8);
                Rig.Server server = rig.new Server(id, "booking-app", zone, version, 12, handler);
                if (version.equals("v2")) second.add(server);
                if (version.equals("v1")) server.start();
            }
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            routers.add(rig.new Router("front-" + ZONES[i % 3] + "-" + (i / 3 + 1), ZONES[i % 3]));
        }
        for (Rig.Router router : routers) router.start(routers);
        rig.awaitReady(routers);
        Thread.sleep(4_000);
        rig.log("traffic begins");
        long end = rig.now() + 3_000 + DURATION_S * 1_000 + 10_000;
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        Thread load = new Thread(() -> {
            int number = 0;
            while (rig.now() < end) {
                Rig.Router router = routers.get(number++ % routers.size());
                rig.background("call", () -> {
                    String id = Rig.newId();
                    try (Rig.Client client = new Rig.Client(router.port, DEADLINE)) {
                        client.send("POST", "/booking/2f", Rig.clientHeaders(id, DEADLINE), "book".getBytes());
                        int status = client.receive().status;
                        (status == 200 ? answered : failed).incrementAndGet();
                        if (status != 200) rig.log("request " + id + " at " + router.name + " answered " + status);
                    } catch (IOException broken) {
                        failed.incrementAndGet();
                    }
                });
                try {
                    Thread.sleep(10);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        });
        load.setDaemon(true);
        load.start();
        Thread.sleep(3_000);
        for (Rig.Server server : second) server.start();
        rig.put("rollouts", "booking-app", order("v2"));
        long orderedAt = rig.now();
        rig.log("roll-out of v2 ordered, within " + DURATION_S + " s");
        rig.await("rolled_back", DURATION_S * 1_000, () -> rig.get("rollouts", "booking-app").contains("rolled_back"));
        long rolledBackAt = rig.now();
        rig.log("v2 is rolled_back");
        if (Rig.TROUBLE) {
            for (String zone : ZONES) {
                rig.new Server("i-" + Rig.newId().substring(0, 8), "booking-app", zone, "v3", 12, handler).start();
            }
            rig.put("rollouts", "booking-app", order("v3"));
            rig.log("roll-out of v3 ordered");
        }
        Thread.sleep(DRAIN_AFTER_MS - (rig.now() - rolledBackAt));
        for (Rig.Server server : second) {
            server.state = "draining";
            server.beat();
        }
        rig.log("the servers of v2 drain");
        load.join();
        Thread.sleep(500);
        int all = 0;
        int atBad = 0;
        int badAnswers = 0;
        long fiftieth = Long.MAX_VALUE;
        int late = 0;
        List<long[]> inOrder = new ArrayList<>(arrivals);
        inOrder.sort((left, right) -> Long.compare(left[0], right[0]));
        for (long[] arrival : inOrder) {
            if (arrival[0] < orderedAt) continue;
            if (arrival[0] < orderedAt + DURATION_S * 1_000) {
                all++;
                atBad += arrival[1];
            }
            badAnswers += arrival[2];
            if (badAnswers == 50 && fiftieth == Long.MAX_VALUE) fiftieth = arrival[0];
            if (arrival[1] == 1 && fiftieth != Long.MAX_VALUE && arrival[0] > fiftieth + ROLLBACK_MS) late++;
        }
        double bound = CANARY_SHARE * all + CANARY_SLACK;
        long atBadBefore = inOrder.stream().filter(it -> it[1] == 1 && it[0] <= rolledBackAt).count();
        rig.log("answered 200: " + answered + ", otherwise or not: " + failed);
        rig.log("requests at v2 until it was rolled back: " + atBadBefore + ", in all until the deadline: " + atBad
            + " of " + all + "; the bound is " + bound + "; bad answers: " + badAnswers + "; later than " + ROLLBACK_MS
            + " ms after the 50th: " + late);
        boolean broken = atBad > bound || late > 0;
        rig.log(broken ? "BROKEN" : "held");
        return !broken;
    }

    private static String order(String target) {
        return "{\"service\":\"booking-app\",\"target\":\"" + target + "\",\"duration_s\":" + DURATION_S + "}";
    }
}
