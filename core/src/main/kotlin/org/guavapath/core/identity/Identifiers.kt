/**
 * Identifiers of the things that requests, configuration and messages refer to.
 *
 * Each is a value class over its text, so that a workspace name cannot be passed where an
 * endpoint name is expected.
 */
package org.guavapath.core.identity

import kotlinx.serialization.Serializable

/**
 * Name of a workspace, the unit that rates, bursts and keys belong to.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class WorkspaceName(public val text: String) {
    override fun toString(): String = text
}

/**
 * Name of an endpoint, a back end that requests are routed to.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class EndpointName(public val text: String) {
    override fun toString(): String = text
}

/**
 * Name of a model as callers write it in a request.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class ModelName(public val text: String) {
    override fun toString(): String = text
}

/**
 * Version of a model's weights.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class WeightsVersion(public val text: String) {
    override fun toString(): String = text
}

/**
 * Name of a failure domain.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class FailureDomainName(public val text: String) {
    override fun toString(): String = text
}

/**
 * Name of a VM that runs one daemon. A replacement at the same address keeps the name.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class VmId(public val text: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/**
 * Number of one run of a process; a later run has a larger number.
 *
 * @property number its number
 */
@Serializable
@JvmInline
public value class Incarnation(public val number: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/**
 * Identifier of one request, as given by the caller or made by the daemon.
 *
 * @property text its text
 */
@Serializable
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}
