import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One tenant's clients ask for long streams and don't read them; another tenant books at the same router. */
final class SlowReaders {
    private static final int DEADLINE = 4_000;
    private static final int STREAM_DEADLINE = 12_000;
    private static final int CLIENTS = Integer.getInteger("clients", 110);
    private static final int EVENTS = Integer.getInteger("events", 200);
    private static final int EVENT_BYTES = Integer.getInteger("bytes", 30_000);
    private static final String OTHER_KEY = "anfqasnmgkcuyj8pjbvk";

    public static void main(String[] arguments) {
        Rig.play(arguments[0], SlowReaders::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(
            Rig.route("booking", "/booking/", "non_idempotent", "booking-app", DEADLINE, 1),
            Rig.route("draft", "/draft/", "streaming", "quote-model", STREAM_DEADLINE, 1));
        List<String> services = List.of(Rig.service("booking-app", 0, 0), Rig.service("quote-model", 0, 0));
        String configuration = Rig.configuration(7, routes, services);
        rig.put("config", "main", configuration.replaceAll("]}$",
            ",{\"name\":\"kesi412\",\"api_keys\":[\"" + OTHER_KEY + "\"],\"priority\":1}]}"));
        Map<String, String> ran = new ConcurrentHashMap<>();
        String[] zones = {"fi-south-a", "fi-south-b", "fi-south-c"};
        for (String zone : zones) {
            String bookingId = "i-" + Rig.newId().substring(0, 8);
            rig.new Server(bookingId, "booking-app", zone, "v1", 6, (server, request, out) -> {
                ran.put(request.id(), server.id);
                Thread.sleep(20);
                out.answer(200, server.headers(request), "answer to " + request.id());
            }).start();
            rig.new Server("i-" + Rig.newId().substring(0, 8), "quote-model", zone, "v1", 64, (server, request, out) -> {
                out.write("HTTP/1.1 200 OK\r\n" + server.headers(request)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                String data = "y".repeat(EVENT_BYTES);
                for (int number = 1; number <= EVENTS; number++) {
                    String event = "id: " + number + "\ndata: " + data + "\n\n";
                    out.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                }
                out.write("0\r\n\r\n");
            }).start();
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (String zone : zones) routers.add(rig.new Router("front-" + zone + "-1", zone));
        for (Rig.Router router : routers) router.start(routers);
        rig.awaitReady(routers);
        Thread.sleep(4_000);
        rig.log("traffic begins");
        long from = rig.now() + 4_000;
        long to = from + 30_000;
        AtomicInteger good = new AtomicInteger();
        AtomicInteger replaced = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        AtomicInteger otherRouters = new AtomicInteger();
        AtomicInteger held = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < routers.size(); index++) {
            Rig.Router router = routers.get(index);
            boolean first = index == 0;
            for (int caller = 0; caller < 3; caller++) {
                threads.add(thread(() -> {
                    while (rig.now() < to) {
                        boolean during = rig.now() >= from;
                        String id = Rig.newId();
                        String result;
                        boolean whole = false;
                        try (Rig.Client client = new Rig.Client(router.port, DEADLINE)) {
                            client.send("POST", "/booking/2f", Rig.clientHeaders(id, DEADLINE), "book".getBytes());
                            Rig.Reply reply = client.receive();
                            whole = reply.status == 200 && reply.text().equals("answer to " + id);
                            result = "answered " + reply.status;
                        } catch (IOException lost) {
                            result = "no answer: " + lost.getMessage();
                        }
                        boolean hasRun = ran.containsKey(id);
                        String run = hasRun ? " has run, " : " has not run, ";
                        rig.log("booking " + id + " at " + router.name + run + result);
                        if (during && first) (whole ? good : hasRun ? replaced : others).incrementAndGet();
                        if (during && !first && !whole) otherRouters.incrementAndGet();
                        Thread.sleep(100);
                    }
                }));
            }
        }
        for (int number = 0; number < CLIENTS; number++) {
            threads.add(thread(() -> {
                Thread.sleep(Math.max(0, from - rig.now()));
                while (rig.now() < to - 2_000) {
                    try (Socket socket = new Socket()) {
                        socket.setReceiveBufferSize(4_096);
                        socket.connect(new InetSocketAddress("127.0.0.1", routers.get(0).port), 1_000);
                        String head = "GET /draft/2f HTTP/1.1\r\nHost: " + Rig.HOST
                            + "\r\nX-Attempt-Id: " + Rig.newId() + "\r\nX-Deadline-Ms: " + STREAM_DEADLINE
                            + "\r\nAuthorization: Token " + OTHER_KEY + "\r\n\r\n";
                        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                        held.incrementAndGet();
                        long until = rig.now() + STREAM_DEADLINE - 1_000;
                        while (rig.now() < until && rig.now() < to) {
                            // Without the trouble the same clients read what they have asked for.
                            if (Rig.TROUBLE) {
                                Thread.sleep(100);
                            } else {
                                socket.setSoTimeout(1_000);
                                try {
                                    if (socket.getInputStream().read(new byte[65_536]) < 0) break;
                                } catch (java.net.SocketTimeoutException quiet) {
                                    Thread.sleep(50);
                                }
                            }
                        }
                    } catch (IOException closed) {
                        Thread.sleep(100);
                    }
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        rig.log("streams asked for by the clients that don't read: " + held);
        rig.log("bookings at " + routers.get(0).name + " meanwhile: with the server's answer " + good
            + ", run but without it " + replaced + ", not run " + others);
        rig.log("bookings at the other routers without the server's answer: " + otherRouters);
        boolean broken = replaced.get() + others.get() > (good.get() + replaced.get() + others.get()) / 10;
        rig.log(broken ? "BROKEN: more than one in ten ordinary bookings lost its answer" : "held");
        return !broken;
    }

    private static Thread thread(Rig.Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
