package org.bulrushtack.http

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler

/** Creates the network threads of a process. */
public object EventLoops {
    /** Creates a group of [threads] network threads. */
    public fun create(threads: Int): EventLoopGroup = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
}
