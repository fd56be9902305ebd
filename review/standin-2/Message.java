import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message: its first line, its headers and its body. Bodies have a length or end with chunks. */
final class Message {
    final String start;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    Message(String start) {
        this.start = start;
    }

    Message with(String name, Object value) {
        headers.add(new String[] {name, String.valueOf(value)});
        return this;
    }

    Message body(String text) {
        body = text.getBytes(StandardCharsets.UTF_8);
        return this;
    }

    String find(String name) {
        for (String[] header : headers) {
            if (header[0].equalsIgnoreCase(name)) return header[1];
        }
        return null;
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String target() {
        return start.split(" ")[1];
    }

    byte[] toBytes() {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        for (String[] header : headers) head.append(header[0]).append(": ").append(header[1]).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }

    void write(OutputStream out) throws IOException {
        out.write(toBytes());
        out.flush();
    }

    /** Reads one message, or returns null at the end of the input before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Message message = new Message(start);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.with(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String length = message.find("Content-Length");
        if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if ("chunked".equalsIgnoreCase(message.find("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                all.writeBytes(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = all.toByteArray();
        }
        return message;
    }

    private static int chunk(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("broken off between chunks");
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("broken off in the body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next >= 0 && next != '\n') {
            if (next != '\r') line.write(next);
            next = in.read();
        }
        if (next < 0) throw new EOFException("broken off in the head");
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
