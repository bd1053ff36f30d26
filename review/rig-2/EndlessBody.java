import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Model servers in trouble send bytes that are no answer, in the bodies of their streams, without end. */
final class EndlessBody {
    private static final int ROUTERS = 2;
    private static final int SERVERS = 4;
    private static final int SLOTS = Integer.getInteger("slots", 64);
    private static final int ROUNDS = Integer.getInteger("rounds", 2);

    /** The rule that decides the result: CONFIG, or Fault with more streams and servers in trouble. */
    private static final String RULE = System.getProperty("rule", "CONFIG");
    private static final int IN_TROUBLE = Integer.getInteger("introuble", 1);

    /** The streams of each router; half of the slots are in use. */
    private static final int STREAMS = Integer.getInteger("streams", SLOTS * SERVERS / ROUTERS / 2);
    private static final double FLOOD_S = 6.0;
    private static final int TIMEOUT_MS = 1_000;
    private static final int SLACK_MS = 500;

    /** Fewer requests that are overdue say nothing. */
    private static final int MIN_OVERDUE = 20;
    private static volatile int round;
    private static volatile boolean flooding;
    private static final AtomicInteger begun = new AtomicInteger();
    private static final AtomicInteger floods = new AtomicInteger();

    /** A model server, which streams an event every 200 ms. */
    private static final class Model extends Server {
        private final boolean inTrouble;

        Model(Rig rig, String id, boolean inTrouble) throws IOException {
            super(rig, id, 0);
            this.inTrouble = inTrouble;
        }

        @Override
        void run(Socket socket, Http.Message request) throws IOException, InterruptedException {
            ran(request);
            String attempt = request.header("X-Attempt-Id");
            OutputStream out = socket.getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= 25; event += 1) {
                String text = "id: " + event + "\ndata: token\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (event == 1) begun.incrementAndGet();
                Thread.sleep(200);
                if (inTrouble && flooding) flood(out);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Sends chunks of one byte until the caller closes, or for a time. */
        private void flood(OutputStream out) throws IOException {
            byte[] bytes = "1\r\nx\r\n".repeat(10_000).getBytes(StandardCharsets.ISO_8859_1);
            floods.incrementAndGet();
            double until = rig.now() + FLOOD_S;
            while (rig.now() < until) out.write(bytes);
            throw new IOException("the server gives up");
        }
    }

    public static void main(String[] arguments) {
        Rig.exitWith(() -> run(arguments[0]));
    }

    private static int run(String folder) throws Exception {
        try (Rig rig = new Rig(folder)) {
            Store store = new Store(false);
            int storePort = store.start();
            store.put("config", "main", Rig.configuration(7,
                List.of(Rig.route("full-quote-draft", "/draft/", "streaming", 12_000, "quote-model", 1, true),
                    Rig.route("visit-booking", "/booking/", "non_idempotent", TIMEOUT_MS, "booking-app", 1, true)),
                List.of(Rig.service("quote-model", 620), Rig.service("booking-app", 110)), null));
            List<String> zones = List.of("fi-south-a", "fi-south-b");
            for (int number = 0; number < SERVERS; number += 1) {
                Model model = new Model(rig, "i-model-" + (number + 1), number < IN_TROUBLE);
                store.put("servers", model.id, Rig.serverEntry("quote-model", model.port, zones.get(number % 2), SLOTS, "ready"));
            }
            for (int number = 1; number <= 3; number += 1) {
                Server desk = new Server(rig, "i-desk-" + number, 40);
                store.put("servers", desk.id, Rig.serverEntry("booking-app", desk.port, zones.get(number % 2), 6, "ready"));
            }
            for (int number = 1; number <= ROUTERS; number += 1) {
                rig.addRouter("front-" + number, zones.get(number % 2), storePort);
            }
            if (!rig.startAll()) return Rig.NOT_RUN;
            rig.routers().forEach(Rig.Router::keepRunning);
            AtomicInteger overdue = new AtomicInteger();
            AtomicInteger unanswered = new AtomicInteger();
            Rig.Counts bookings = new Rig.Counts();
            for (Rig.Router router : rig.routers()) bookings(rig, router, bookings, overdue, unanswered);
            int[] misses = new int[1];
            for (Rig.Router router : rig.routers()) checkReadiness(rig, router, misses);
            Thread.sleep(2_000);
            for (round = 1; round <= ROUNDS; round += 1) {
                for (Rig.Router router : rig.routers()) while (!router.isReady()) Thread.sleep(50);
                begun.set(0);
                floods.set(0);
                Rig.Counts streams = new Rig.Counts();
                for (Rig.Router router : rig.routers()) {
                    for (int number = 0; number < STREAMS; number += 1) Rig.spawn(() -> stream(rig, router, streams));
                }
                Thread.sleep(1_500);
                rig.note("round %d: %d streams have begun", round, begun.get());
                flooding = rig.trouble;
                Thread.sleep(9_000);
                flooding = false;
                rig.note("round %d: %d streams got bytes without end; streams ended %s; bookings %s", round, floods.get(), streams, bookings);
                Thread.sleep(1_000);
            }
            int often = 0;
            for (Rig.Router router : rig.routers()) {
                rig.note("%s ended by itself %d times", router.name, router.ownEnds.size());
                often += router.ownEnds.size() >= 3 ? 1 : 0;
            }
            rig.note("bookings without an answer at their timeout: %d, of which half a second later: %d", overdue.get(), unanswered.get());
            rig.note("the most readiness checks in a row that had no answer within a second: %d", misses[0]);
            boolean hung = overdue.get() >= MIN_OVERDUE && unanswered.get() * 2 > overdue.get();
            rig.note("CONFIG (answers at the timeout): %s", hung ? "BROKEN" : "held");
            rig.note("Fault (three ends each on two machines): %s", often >= 2 ? "BROKEN" : "held");
            return (RULE.equals("CONFIG") ? hung : often >= 2) ? Rig.BROKEN : Rig.HELD;
        }
    }

    /** Asks every second whether the router is ready, as the platform does. */
    private static void checkReadiness(Rig rig, Rig.Router router, int[] most) {
        Rig.spawn(() -> {
            int inRow = 0;
            while (true) {
                double askedAt = rig.now();
                inRow = router.isReady() ? 0 : inRow + 1;
                synchronized (most) {
                    most[0] = Math.max(most[0], inRow);
                }
                if (inRow > 0) rig.note("%s did not answer the readiness check, %d in a row", router.name, inRow);
                try {
                    rig.sleepUntil(askedAt + 1);
                } catch (InterruptedException stopped) {
                    return;
                }
            }
        });
    }

    /** Sends bookings to sound servers, by one client after the other on connections of their own. */
    private static void bookings(Rig rig, Rig.Router router, Rig.Counts counts, AtomicInteger overdue, AtomicInteger unanswered) {
        Rig.spawn(() -> {
            while (true) {
                Rig.spawn(() -> {
                    String id = rig.id();
                    double sentAt = rig.now();
                    Http.Message answer = Http.call(router.front, "POST /booking/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 4\r\n\r\n", "book".getBytes(), 4_000);
                    double took = (rig.now() - sentAt) * 1_000;
                    String result = answer == null ? "none" : Integer.toString(answer.status());
                    counts.add(result);
                    if (took > TIMEOUT_MS) overdue.incrementAndGet();
                    if (took > TIMEOUT_MS + SLACK_MS) unanswered.incrementAndGet();
                    rig.note("%s to %s: %s after %.0f ms", id, router.name, result, took);
                });
                try {
                    Thread.sleep(50);
                } catch (InterruptedException stopped) {
                    return;
                }
            }
        });
    }

    private static void stream(Rig rig, Rig.Router router, Rig.Counts counts) {
        String id = rig.id();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", router.front), 1_000);
            socket.setSoTimeout(12_000);
            socket.getOutputStream().write(("POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 12000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nplan").getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.readHead(in);
            if (head != null) in.readAllBytes();
            counts.add(head == null ? "none" : Integer.toString(head.status()));
        } catch (IOException | RuntimeException failed) {
            counts.add("none");
        }
    }
}
