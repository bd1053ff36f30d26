import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** A sound plain server of the platform: runs each request that names it, and answers with its seal. */
class Backend {
    final Rig rig;
    final String id;
    final String service;
    final String zone;
    final ServerSocket listener = new ServerSocket();
    final Semaphore slots = new Semaphore(6);
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    volatile long workMs = 85;
    volatile String state = "ready";
    private volatile boolean ended;

    Backend(Rig rig, String id, String service, String zone, String host, int receiveBuffer) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.zone = zone;
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        Rig.daemon("server-" + id, this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** The entry that the server writes to the store. */
    Map<String, Object> entry() {
        return Json.of("service", service, "address", address(), "zone", zone, "version", "v1", "slots", 6,
            "state", state, "cold_left_ms", 0, "seq", 1);
    }

    /** Ends the server process: the listener and all connections close. */
    void exit() throws IOException {
        ended = true;
        listener.close();
        for (Socket socket : sockets) {
            // The kernel resets the connections of a process that exits while data is unread or unsent.
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            sockets.add(socket);
            Rig.daemon("server-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Head head = Http.readHead(in);
            while (head != null) {
                handle(head, in, out, socket);
                head = Http.readHead(in);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers one request. */
    void handle(Http.Head head, BufferedInputStream in, OutputStream out, Socket socket) throws Exception {
        byte[] body = Http.readBody(in, head, false);
        String request = head.headers.get("X-Attempt-Id");
        String target = head.headers.get("X-Target-Instance");
        if (target != null && !target.equals(id)) {
            answer(out, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        slots.acquire();
        try {
            arrived(request, body);
            Rig.sleep(workMs);
        } finally {
            slots.release();
        }
        if (!ended) {
            answered(request);
            answer(out, "200 OK", "X-Attempt-Id: " + request + "\r\nX-Response-Seal: seal-" + request
                + "\r\nKeep-Alive: timeout=5\r\n", ("booked " + request).getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Called when the server begins to work on a request. */
    void arrived(String request, byte[] body) {
        rig.record("run", id, request, body.length + "B");
    }

    /** Called when the server is about to answer. */
    void answered(String request) {
    }

    static void answer(OutputStream out, String status, String headers, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }
}
