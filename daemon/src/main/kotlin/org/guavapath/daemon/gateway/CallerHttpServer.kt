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

/** Connections that may wait to be accepted while the event loop is busy. */
private const val ACCEPT_BACKLOG = 1_024

/** HTTP server for callers. */
internal class CallerHttpServer(private val group: EventLoopGroup, private val handler: RequestHandler) {
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
                        StrictRequestDecoder(handler.callerLimits.headerBytes),
                        HttpResponseEncoder(),
                        CallerConnection(handler),
                    )
                }
            },
        )
        .bind(address.host, address.port).sync().channel()
}

/** Rejects requests with two length headers, which another parser might frame differently (request smuggling). */
internal class StrictRequestDecoder(headerBytes: Int) : HttpRequestDecoder(
    HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes).setStrictLineParsing(true),
) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both Transfer-Encoding and Content-Length are present")
    }
}
