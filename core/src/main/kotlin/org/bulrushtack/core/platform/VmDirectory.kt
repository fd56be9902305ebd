package org.bulrushtack.core.platform

import arrow.core.Either
import org.bulrushtack.core.membership.VmRecord
import java.util.concurrent.CompletableFuture

/** The platform's list of VMs, which lags behind their real state. */
public fun interface VmDirectory {
    /** Reads the whole list. */
    public fun read(): CompletableFuture<Either<PlatformFailure, List<VmRecord>>>
}
