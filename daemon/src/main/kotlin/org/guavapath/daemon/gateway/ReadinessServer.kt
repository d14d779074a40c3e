package org.guavapath.daemon.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

private const val MAX_REQUEST_BYTES = 4_096

/** Serves the readiness check and the metrics over HTTP. */
internal class ReadinessServer(
    private val group: EventLoopGroup,
    private val isReady: () -> Boolean,
    private val metrics: () -> String,
) {
    fun start(address: SocketAddress): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline()
                        .addLast(HttpServerCodec(), HttpObjectAggregator(MAX_REQUEST_BYTES), ReadinessHandler())
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

    private inner class ReadinessHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val (status, text) = responseTo(request.uri().substringBefore('?'))
            val body = Unpooled.wrappedBuffer(text.toByteArray())
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            HttpUtil.setKeepAlive(response, HttpUtil.isKeepAlive(request))
            val written = context.writeAndFlush(response)
            if (!HttpUtil.isKeepAlive(request)) written.addListener(ChannelFutureListener.CLOSE)
        }

        private fun responseTo(path: String): Pair<HttpResponseStatus, String> = when (path) {
            "/ready" -> if (isReady()) HttpResponseStatus.OK to "ready" else NOT_READY
            "/metrics" -> HttpResponseStatus.OK to metrics()
            else -> HttpResponseStatus.NOT_FOUND to "not found"
        }

        @Deprecated("Deprecated in Netty for outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        val NOT_READY = HttpResponseStatus.SERVICE_UNAVAILABLE to "not ready"
    }
}
