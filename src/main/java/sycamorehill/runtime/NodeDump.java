package sycamorehill.runtime;

import sycamorehill.logic.node.NodeState;
import sycamorehill.model.identity.NodeIdentity;

/**
 * Holds the state of a node in a form for people to read. Keys of workspaces appear only
 * as hashes. Bodies don't appear at all, because the decision logic never receives them.
 *
 * @param self the node's identity
 * @param ready whether the node accepts new callers
 * @param ticket the number of the last ticket that the node has applied, or -1
 * @param state the complete state on which the node's decisions are based
 */
record NodeDump(NodeIdentity self, boolean ready, long ticket, NodeState state) {

	static NodeDump of(NodeState state) {
		return new NodeDump(state.self(), state.ready(),
				state.desiredState().map((desiredState) -> desiredState.number()).orElse(-1L), state);
	}

}
