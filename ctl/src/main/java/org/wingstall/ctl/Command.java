package org.wingstall.ctl;

import java.io.IOException;
import java.io.PrintStream;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.PlatformException;

/** One command of the client. */
@FunctionalInterface
interface Command {
    void run(PrintStream out)
            throws InvalidDocumentException, InvalidRowException, UsageException, EditConflictException,
                    NotFoundException, PlatformException, UnreachableException, IOException, InterruptedException;
}
