package sycamorehill.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.WorkspaceUse;

/**
 * Writes and reads the use by workspace in load messages. A report without use adds no
 * field.
 */
final class UseReportFields {

	private static final String USE = "use";

	private static final String SERVICE = "service";

	private static final String MODEL = "model";

	private static final String WORKSPACES = "workspaces";

	private static final String REST = "rest";

	private static final String REST_WORKSPACES = "rest-workspaces";

	private UseReportFields() {
	}

	static void write(UseReport report, ObjectNode body) {
		if (report.models().isEmpty()) {
			return;
		}
		ArrayNode models = body.putArray(USE);
		for (ModelUse use : report.models()) {
			ObjectNode element = models.addObject();
			element.put(SERVICE, use.model().service().value());
			use.model().model().ifPresent((model) -> element.put(MODEL, model));
			ObjectNode workspaces = element.putObject(WORKSPACES);
			use.byWorkspace().forEach((name, amounts) -> write(amounts, workspaces.putArray(name.value())));
			if (use.restWorkspaces() > 0) {
				write(use.rest(), element.putArray(REST));
				element.put(REST_WORKSPACES, use.restWorkspaces());
			}
		}
	}

	// Four bytes each: seven digits are far more than a share needs.
	private static void write(WorkspaceUse use, ArrayNode amounts) {
		amounts.add((float) use.asked()).add((float) use.admitted());
	}

	static UseReport read(JsonNode body) {
		List<ModelUse> models = new ArrayList<>();
		for (JsonNode element : body.path(USE)) {
			Optional<String> model = element.has(MODEL) ? Optional.of(element.path(MODEL).asText()) : Optional.empty();
			Map<WorkspaceName, WorkspaceUse> byWorkspace = new HashMap<>();
			element.path(WORKSPACES)
				.fields()
				.forEachRemaining(
						(field) -> byWorkspace.put(WorkspaceName.of(field.getKey()), readAmounts(field.getValue())));
			models.add(new ModelUse(new ServedModel(ServiceName.of(element.path(SERVICE).asText()), model), byWorkspace,
					readAmounts(element.path(REST)), MessageNumbers.count(element, REST_WORKSPACES)));
		}
		return models.isEmpty() ? UseReport.NONE : new UseReport(models);
	}

	private static WorkspaceUse readAmounts(JsonNode amounts) {
		return new WorkspaceUse(MessageNumbers.amount(amounts.path(0)), MessageNumbers.amount(amounts.path(1)));
	}

}
