package sycamorehill.runtime;

import sycamorehill.logic.node.NodeState;
import sycamorehill.model.identity.NodeIdentity;

/**
 * One node's state for a person to read. Keys of workspaces stand in it only as hashes,
 * and bodies not at all, because the decisions never see them.
 *
 * @param self who the node is
 * @param ready whether it takes new callers
 * @param ticket the last ticket in force on it
 * @param state everything that its decisions rest on
 */
record NodeDump(NodeIdentity self, boolean ready, long ticket, NodeState state) {

	static NodeDump of(NodeState state) {
		return new NodeDump(state.self(), state.ready(),
				state.desiredState().map((desiredState) -> desiredState.number()).orElse(-1L), state);
	}

}
