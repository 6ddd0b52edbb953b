package sycamorehill.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.VmName;

/**
 * The JSON body of a command to an engine.
 *
 * @param type the type of the command, {@code join} or {@code leave}
 * @param group the group to join or leave
 * @param members all members, the head first, or null for {@code leave}
 * @param model the model to load, or null for {@code leave}
 * @param modelVersion the version of the model, or null for {@code leave}
 * @param fencingNumber the fencing number of the controller
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
