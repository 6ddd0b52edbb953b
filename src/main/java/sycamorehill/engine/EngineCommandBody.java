package sycamorehill.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.VmName;

/**
 * Body of an order on the wire.
 *
 * @param type join or leave
 * @param group the group
 * @param members all members, the head first; null for leave
 * @param model the model; null for leave
 * @param modelVersion its version; null for leave
 * @param fencingNumber fencing number of the controller
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record EngineCommandBody(String type, GroupBody group, List<String> members, String model, String modelVersion,
		long fencingNumber) {

	static EngineCommandBody of(EngineCommand command) {
		if (command instanceof EngineCommand.Join join) {
			List<String> members = join.members().stream().map(VmName::value).toList();
			return new EngineCommandBody("join", GroupBody.of(join.group()), members, join.model(), join.modelVersion(),
					join.fencingNumber());
		}
		GroupIdentity left = ((EngineCommand.Leave) command).group();
		return new EngineCommandBody("leave", GroupBody.of(left), null, null, null, command.fencingNumber());
	}

}
