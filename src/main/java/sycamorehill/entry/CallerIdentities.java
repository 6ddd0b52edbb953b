package sycamorehill.entry;

import java.util.Map;
import java.util.Optional;

import sycamorehill.model.serving.Workspace;

/**
 * Tells callers apart whose requests have the same content. All API keys of a workspace
 * are one caller: a request that is repeated with another of its keys is the same.
 */
final class CallerIdentities {

	private final Map<String, Workspace> workspacesByApiKey;

	private CallerIdentities(Map<String, Workspace> workspacesByApiKey) {
		this.workspacesByApiKey = workspacesByApiKey;
	}

	static CallerIdentities of(Map<String, Workspace> workspacesByApiKey) {
		return new CallerIdentities(Map.copyOf(workspacesByApiKey));
	}

	/**
	 * Returns what identifies the caller of a request.
	 * @param apiKey the request's API key
	 * @return its workspace, the key itself if it is not known, or nothing for an
	 * anonymous caller
	 */
	String identify(Optional<String> apiKey) {
		return apiKey.map(this::identify).orElse("");
	}

	private String identify(String apiKey) {
		Workspace workspace = this.workspacesByApiKey.get(apiKey);
		return (workspace != null) ? "workspace:" + workspace.name() : "key:" + apiKey;
	}

}
