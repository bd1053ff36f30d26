import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of a service: runs each request for some time and echoes its ID under its signature. */
class Server {
    final Rig rig;
    final String id;
    final int port;
    private final int workMs;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile boolean leaving;

    Server(Rig rig, String id, int workMs) throws IOException {
        this.rig = rig;
        this.id = id;
        this.workMs = workMs;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Rig.spawn(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Rig.spawn(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    /** Closes the listener and all connections, as a process does that ends. */
    void exit() throws IOException {
        listener.close();
        for (Socket socket : open) socket.close();
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                String target = request.header("X-Target-Instance");
                if (request.start().startsWith("GET /health ")) {
                    answer(socket, leaving ? "503 Service Unavailable" : "200 OK", "X-Instance-Id: " + id + "\r\n", "");
                } else if (target != null && !target.equals(id)) {
                    answer(socket, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", "");
                } else {
                    run(socket, request);
                }
            }
        } catch (IOException | InterruptedException closed) {
            // The other side has left.
        } finally {
            open.remove(socket);
        }
    }

    /** Runs [request] and answers it. */
    void run(Socket socket, Http.Message request) throws IOException, InterruptedException {
        ran(request);
        Thread.sleep(workMs);
        String attempt = request.header("X-Attempt-Id");
        String body = "done " + attempt + " at " + id;
        answer(socket, "200 OK", "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal." + attempt + "\r\n", body);
    }

    /** Is told of each request that runs. */
    void ran(Http.Message request) {
        rig.note("%s runs %s", id, request.header("X-Attempt-Id"));
    }

    void answer(Socket socket, String status, String headers, String body) throws IOException {
        String head = "HTTP/1.1 " + status + "\r\n" + headers + (leaving ? "Server-Leaving: 1\r\n" : "")
            + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
