package org.guavapath.daemon.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder

/** Connections that wait to be accepted while the event loop is busy. */
private const val ACCEPT_BACKLOG = 1_024

/** Listens for callers. */
internal class FrontServer(private val group: EventLoopGroup, private val door: FrontDoor) {
    fun start(address: SocketAddress): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        StrictRequestDecoder(door.callerLimits.headerBytes),
                        HttpResponseEncoder(),
                        CallerConnection(door),
                    )
                }
            },
        )
        .bind(address.host, address.port).sync().channel()
}

/** Refuses requests that state their length twice, which another reader might cut differently. */
internal class StrictRequestDecoder(headerBytes: Int) : HttpRequestDecoder(
    HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes).setStrictLineParsing(true),
) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both a transfer encoding and a length")
    }
}
