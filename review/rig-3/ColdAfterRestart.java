import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All routers are killed at once and come back while one server of a service is cold. */
final class ColdAfterRestart {
    private static final int DEADLINE = 4_000;
    private static final int ROUTERS = 9;
    private static final int PER_SECOND = 160;
    private static final double COLD_PER_SECOND = 13.0;
    private static final double BOUND = COLD_PER_SECOND * 1.5 + 5;

    public static void main(String[] arguments) throws Exception {
        try (Rig rig = new Rig(arguments[0])) {
            System.exit(run(rig) ? 0 : 1);
        }
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(Rig.route("history", "/history/", "idempotent", "booking-app", DEADLINE, 2));
        rig.put("config", "main", Rig.configuration(7, routes, List.of(Rig.service("booking-app", 10, COLD_PER_SECOND))));
        List<Long> coldArrivals = Collections.synchronizedList(new ArrayList<>());
        Rig.Handler handler = (server, request, out) -> {
            if (request.at < server.warmAt) coldArrivals.add(request.at);
            Thread.sleep(20);
            out.answer(200, server.headers(request), "answer to " + request.id());
        };
        String[] zones = {"fi-south-a", "fi-south-b", "fi-south-c"};
        Rig.Server warm = rig.new Server("i-" + Rig.newId().substring(0, 8), "booking-app", zones[0], "v1", 64, handler);
        warm.start();
        Rig.Server cold = rig.new Server("i-" + Rig.newId().substring(0, 8), "booking-app", zones[1], "v1", 64, handler);
        cold.start();
        List<Rig.Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) routers.add(rig.new Router("front-" + zones[i % 3] + "-" + (i / 3 + 1), zones[i % 3]));
        for (Rig.Router router : routers) router.start(routers);
        rig.awaitReady(routers);
        Thread.sleep(4_000);
        rig.log("traffic begins");
        long begin = rig.now();
        long end = begin + 14_000;
        AtomicInteger[] results = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        Thread load = new Thread(() -> {
            long next = rig.now();
            int number = 0;
            while (rig.now() < end) {
                int router = number++ % ROUTERS;
                rig.background("call", () -> {
                    String id = Rig.newId();
                    int status = 0;
                    try (Rig.Client client = new Rig.Client(routers.get(router).port, DEADLINE)) {
                        client.send("GET", "/history/2f", Rig.clientHeaders(id, DEADLINE), new byte[0]);
                        status = client.receive().status;
                    } catch (IOException lost) {
                        // counted as 0
                    }
                    rig.log("request " + id + " at " + routers.get(router).name + " " + status);
                    results[status == 200 ? 0 : status == 0 ? 1 : 2].incrementAndGet();
                });
                next += 1_000 / PER_SECOND;
                try {
                    Thread.sleep(Math.max(0, next - rig.now()));
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        });
        load.setDaemon(true);
        load.start();
        Thread.sleep(3_000);
        rig.log("server " + cold.id + " is cold for 10 s");
        cold.warmAt = rig.now() + 10_000;
        cold.beat();
        Thread.sleep(2_000);
        if (Rig.TROUBLE) {
            rig.log("all routers are killed");
            for (Rig.Router router : routers) router.process.destroyForcibly();
            for (Rig.Router router : routers) router.process.waitFor();
            Thread.sleep(500);
            for (Rig.Router router : routers) router.start(routers);
        }
        load.join();
        Thread.sleep(1_000);
        List<Long> times = new ArrayList<>(coldArrivals);
        Collections.sort(times);
        int most = 0;
        long mostAt = 0;
        for (int i = 0, from = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(from) >= 1_000) from++;
            if (i - from + 1 > most) {
                most = i - from + 1;
                mostAt = times.get(from);
            }
        }
        rig.log("requests answered 200: " + results[0] + ", without an answer: " + results[1] + ", others: " + results[2]);
        rig.log("requests at the cold server: " + times.size() + ", in its worst second " + most + ", from " + mostAt + " ms");
        rig.log(most > BOUND ? "BROKEN: more than " + BOUND : "held");
        return most <= BOUND;
    }
}
