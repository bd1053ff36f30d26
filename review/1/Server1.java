import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A booking server as a process of its own. It answers a long request before it has read it, keeps the connection and
 * reads on later; its answer has no length and ends with its connection. It answers short requests as usual.
 */
public final class Server1 {
    /** How long the server works between the halves of its answer. */
    static final int WORK_MS = 1_000;
    private static final int LONG = 1_000_000;
    /** "Links have [...] small windows" (DEPLOY.md). */
    private static final int WINDOW = 65_536;

    private Server1() {
    }

    static String firstHalf(String request) {
        return "visit booked for " + request + "; ";
    }

    static String whole(String request) {
        return firstHalf(request) + "crew 7, receipt follows: " + request.hashCode() + "\n";
    }

    public static void main(String[] arguments) throws Exception {
        Backend server = new Backend(null, arguments[0], "booking-app", arguments[1], arguments[2], WINDOW) {
            @Override
            void arrived(String request, byte[] body) {
                System.out.println("run " + id + " " + request + " " + body.length + "B");
            }

            @Override
            void handle(Http.Head head, BufferedInputStream in, OutputStream out, Socket socket) throws Exception {
                String request = head.headers.get("X-Attempt-Id");
                if (Integer.parseInt(head.headers.getOrDefault("Content-Length", "0")) < LONG
                    || !id.equals(head.headers.get("X-Target-Instance"))) {
                    super.handle(head, in, out, socket);
                    return;
                }
                System.out.println("run " + id + " " + request + " answers before it has read the body");
                write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request + "\r\nX-Response-Seal: seal-" + request
                    + "\r\nConnection: close\r\n\r\n" + firstHalf(request));
                Rig.sleep(WORK_MS);
                Http.readBody(in, head, false);
                write(out, whole(request).substring(firstHalf(request).length()));
                System.out.println("done " + id + " " + request);
                socket.shutdownOutput();
                in.readAllBytes();
                socket.close();
            }
        };
        System.out.println("address " + server.address());
        Thread.currentThread().join();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
