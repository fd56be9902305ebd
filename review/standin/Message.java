import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** The head of an HTTP/1.1 message and, for requests, its body. */
final class Message {
    final String firstLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    private Message(String firstLine) {
        this.firstLine = firstLine;
    }

    String header(String name) {
        return headers.get(name.toLowerCase());
    }

    /** The status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Reads a head; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Message message = new Message(first);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a request with its body. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null && message.header("content-length") != null) {
            message.body = in.readNBytes(Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    /** Reads one chunk of a chunked body; an empty array stands for the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("the connection ended before the last chunk");
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
            throw new EOFException("the connection ended within a chunk");
        }
        line(in);
        return chunk;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString();
    }
}
