package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs gateways with workspaces that the operator isolates and no longer isolates. */
class IsolatedWorkspaceTest {
    private val workspaces = listOf("one", "two", "three")

    /** A prompt of [workspace] under [salt], sent while [isolated] were isolated. */
    private class Use(val workspace: String, val salt: String?, val isolated: Set<String>)

    private fun OutspokenFleet.isolate(version: Int, isolated: Set<String>) {
        configure(version, workspaces.associateWith { it in isolated })
        Thread.sleep(CONFIGURATION_TIME.inWholeMilliseconds)
    }

    private fun prompt(workspace: String) =
        SampleRequest(SampleRoute.PROMPTS, "1", "{}", listOf("5c", "own-$workspace"), workspace)

    private fun OutspokenFleet.salts() =
        replicas.flatMap { it.arrivals }.filter { it.isRequest }.sortedBy { it.at }.map { it.salt }

    /** Returns the salts under which the prompts of all workspaces arrive from all gateways. */
    private fun OutspokenFleet.uses(isolated: Set<String>): List<Use> = workspaces.flatMap { workspace ->
        (0 until GATEWAYS).map { gateway ->
            val before = salts().size
            assertTrue(send(prompt(workspace), gateway).get().isServed, "$workspace at $gateway, isolated: $isolated")
            Use(workspace, salts().drop(before).single(), isolated)
        }
    }

    /** Guards against cached parts that stay shared with a workspace after the configuration has isolated it. */
    @Test
    fun noPartIsSharedWithAWorkspaceThatIsIsolatedOrWasWhenItWasMade() =
        OutspokenFleet(GATEWAYS, replicas = 1).use { fleet ->
            val steps = listOf(
                emptySet(),
                setOf("one"),
                emptySet(),
                setOf("two"),
                setOf("one", "two"),
                setOf("one"),
                setOf("one", "two", "three"),
            )
            val uses = steps.flatMapIndexed { index, isolated ->
                fleet.isolate(index + 2, isolated)
                fleet.uses(isolated).also { now -> assertSharedByAllOthers(now, isolated) }
            }
            uses.forEachIndexed { index, use ->
                val made = uses.take(index).filter { it.salt == use.salt && it.workspace != use.workspace }
                val refused = made.filter { maker ->
                    listOf(use, maker).any { use.workspace in it.isolated || maker.workspace in it.isolated }
                }
                val name = "${use.workspace} with ${use.isolated} isolated"
                assertEquals(emptyList(), refused.map { "${it.workspace} with ${it.isolated} isolated" }, name)
            }
        }

    private fun assertSharedByAllOthers(uses: List<Use>, isolated: Set<String>) {
        val shared = uses.filter { it.workspace !in isolated }.map { it.salt }.toSet()
        assertEquals(if (isolated.containsAll(workspaces)) 0 else 1, shared.size, "shared with $isolated isolated")
        isolated.forEach { workspace ->
            assertEquals(1, uses.filter { it.workspace == workspace }.map { it.salt }.toSet().size, workspace)
        }
    }

    /** Guards against a request that is sent again under the salt of a configuration that is no longer in force. */
    @Test
    fun aRequestSentAgainAfterItsWorkspaceIsIsolatedHasANewSalt() = OutspokenFleet(1, replicas = 2).use { fleet ->
        fleet.isolate(version = 2, emptySet())
        val isFirst = AtomicBoolean(true)
        fleet.replicas.forEach { replica ->
            replica.response = { id ->
                val isTurnedAway = isFirst.getAndSet(false)
                if (isTurnedAway) Thread.sleep(CONFIGURATION_TIME.inWholeMilliseconds)
                SampleRequest.notRunResponse(id, isMisdirected = false).takeIf { isTurnedAway }
            }
        }
        val before = fleet.salts().size
        val response = fleet.send(prompt("one"))
        awaitTrue("the request is sent") { fleet.salts().size > before }
        fleet.isolate(version = 3, setOf("one"))
        assertTrue(response.get().isServed, "served by the other replica")
        val (first, second) = fleet.salts().drop(before)
        assertNotEquals(first, second)
        assertTrue(fleet.send(prompt("one")).get().isServed)
        assertEquals(second, fleet.salts().last())
    }

    private companion object {
        const val GATEWAYS = 2

        /** Time within which a gateway goes by a configuration, on a busy machine. */
        val CONFIGURATION_TIME: Duration = 1.seconds + 200.milliseconds
    }
}
