package org.wingstall.peer.format;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads the plain values in frames; what is left out is nil. */
final class FrameValues {
    /** Size of the buffer that a frame is written to, in bytes; larger frames take several. */
    private static final int BUFFER_BYTES = 1024;

    /** Entries that a list has room for before the first is read, whatever its header says. */
    private static final int TRUSTED_ENTRIES = 256;

    static final MessagePack.PackerConfig PACKERS = new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

    private FrameValues() {}

    static void packText(MessagePacker out, String value) throws IOException {
        if (value == null) {
            out.packNil();
        } else {
            out.packString(value);
        }
    }

    static void packTexts(MessagePacker out, List<String> values) throws IOException {
        if (values == null) {
            out.packNil();
            return;
        }
        out.packArrayHeader(values.size());
        for (String value : values) {
            packText(out, value);
        }
    }

    static void packNumbers(MessagePacker out, List<Integer> values) throws IOException {
        if (values == null) {
            out.packNil();
            return;
        }
        out.packArrayHeader(values.size());
        for (Integer value : values) {
            out.packInt(value);
        }
    }

    static void packLongs(MessagePacker out, List<Long> values) throws IOException {
        if (values == null) {
            out.packNil();
            return;
        }
        out.packArrayHeader(values.size());
        for (Long value : values) {
            out.packLong(value);
        }
    }

    static String text(MessageUnpacker in) throws IOException {
        return in.tryUnpackNil() ? null : in.unpackString();
    }

    static List<String> texts(MessageUnpacker in) throws IOException {
        if (in.tryUnpackNil()) {
            return null;
        }
        int size = in.unpackArrayHeader();
        List<String> values = listFor(size);
        for (int i = 0; i < size; i++) {
            values.add(text(in));
        }
        return values;
    }

    static List<Integer> numbers(MessageUnpacker in) throws IOException {
        if (in.tryUnpackNil()) {
            return null;
        }
        int size = in.unpackArrayHeader();
        List<Integer> values = listFor(size);
        for (int i = 0; i < size; i++) {
            values.add(in.unpackInt());
        }
        return values;
    }

    static List<Long> longs(MessageUnpacker in) throws IOException {
        if (in.tryUnpackNil()) {
            return null;
        }
        int size = in.unpackArrayHeader();
        List<Long> values = listFor(size);
        for (int i = 0; i < size; i++) {
            values.add(in.unpackLong());
        }
        return values;
    }

    static <T> List<T> listFor(int size) {
        return new ArrayList<>(Math.min(size, TRUSTED_ENTRIES));
    }

    static long wholeNumber(MessageUnpacker in) throws IOException {
        return in.tryUnpackNil() ? 0 : in.unpackLong();
    }

    static int smallNumber(MessageUnpacker in) throws IOException {
        return in.tryUnpackNil() ? 0 : in.unpackInt();
    }

    static double number(MessageUnpacker in) throws IOException {
        return in.tryUnpackNil() ? 0 : in.unpackDouble();
    }

    static boolean truth(MessageUnpacker in) throws IOException {
        return !in.tryUnpackNil() && in.unpackBoolean();
    }

    /** Passes over properties that only newer boxes know. */
    static void skip(MessageUnpacker in, int left) throws IOException {
        if (left > 0) {
            in.skipValue(left);
        }
    }
}
