package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TokenCounts;
import sycamorehill.model.serving.Workspace;

/**
 * Writes and reads the decisions about a request and the end of an attempt in frames
 * between nodes. Values follow each other in a fixed order.
 */
final class ProxyFrameFields {

	private static final String DELIVERED = "delivered";

	private static final String NOT_RUN = "not-run";

	private static final String FAILED = "failed";

	private static final String UNKNOWN = "unknown";

	private static final String BROKEN = "broken";

	/** Longest time in a frame; a longer one counts as this. */
	private static final Duration MAXIMUM_TIME = Duration.ofDays(366);

	private ProxyFrameFields() {
	}

	static void writeOptional(Optional<String> text, MessagePacker packer) throws IOException {
		if (text.isPresent()) {
			packer.packString(text.get());
		}
		else {
			packer.packNil();
		}
	}

	static Optional<String> readOptional(MessageUnpacker unpacker) throws IOException {
		return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
	}

	static void writeRequest(ProxiedRequest request, MessagePacker packer) throws IOException {
		packer.packString(request.origin())
			.packString(request.identifier())
			.packString(request.route())
			.packString(request.kind().name())
			.packString(request.service().value());
		writeOptional(request.workspace().map((workspace) -> workspace.name().value()), packer);
		packer.packInt(request.workspace().map(Workspace::priority).orElse(0));
		packer.packInt(request.priority());
		writeDuration(request.latencyTarget(), packer);
		writeDuration(request.routeTimeout(), packer);
		writeDuration(request.timeout(), packer);
		writeDuration(request.elapsed(), packer);
		writeOptional(request.model(), packer);
		packer.packInt(request.tokenCounts().map(TokenCounts::promptTokens).orElse(-1));
		packer.packInt(request.tokenCounts().map(TokenCounts::maximumAnswerTokens).orElse(-1));
		packer.packLong(request.contentHash());
		packer.packArrayHeader(request.triedTargets().size());
		for (TargetName target : request.triedTargets()) {
			packer.packString(target.value());
		}
		packer.packBoolean(request.answerStarted()).packBoolean(request.anotherAttemptMayFollow());
	}

	static ProxiedRequest readRequest(MessageUnpacker unpacker) throws IOException {
		return new ProxiedRequest(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
				RequestKind.valueOf(unpacker.unpackString()), ServiceName.of(unpacker.unpackString()),
				readWorkspace(unpacker), unpacker.unpackInt(), readDuration(unpacker), readDuration(unpacker),
				readDuration(unpacker), readDuration(unpacker), readOptional(unpacker), readTokenCounts(unpacker),
				List.of(), unpacker.unpackLong(), readTargets(unpacker), unpacker.unpackBoolean(),
				unpacker.unpackBoolean(), Set.of());
	}

	private static Optional<Workspace> readWorkspace(MessageUnpacker unpacker) throws IOException {
		Optional<WorkspaceName> name = readOptional(unpacker).map(WorkspaceName::of);
		int priority = unpacker.unpackInt();
		return name.map((workspace) -> new Workspace(workspace, priority));
	}

	private static Optional<TokenCounts> readTokenCounts(MessageUnpacker unpacker) throws IOException {
		int promptTokens = unpacker.unpackInt();
		int answerTokens = unpacker.unpackInt();
		return (promptTokens < 0) ? Optional.empty() : Optional.of(new TokenCounts(promptTokens, answerTokens));
	}

	static void writePromptParts(List<String> parts, MessagePacker packer) throws IOException {
		packer.packArrayHeader(parts.size());
		for (String part : parts) {
			packer.packString(part);
		}
	}

	/**
	 * Reads the parts of a prompt, which nodes of earlier versions don't send.
	 * @param unpacker the rest of the frame
	 * @return the identifiers of the parts
	 * @throws IOException if they can't be read
	 */
	static List<String> readPromptParts(MessageUnpacker unpacker) throws IOException {
		int count = unpacker.hasNext() ? unpacker.unpackArrayHeader() : 0;
		List<String> parts = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			parts.add(unpacker.unpackString());
		}
		return parts;
	}

	static void writeHomes(HomeRegions homes, MessagePacker packer) throws IOException {
		writeRegions(homes.ofRoute(), packer);
		writeRegions(homes.ofWorkspace(), packer);
	}

	private static void writeRegions(Set<RegionName> regions, MessagePacker packer) throws IOException {
		packer.packArrayHeader(regions.size());
		for (RegionName region : regions) {
			packer.packString(region.value());
		}
	}

	/**
	 * Reads the home regions of a request, which nodes of earlier versions don't send.
	 * @param unpacker the rest of the frame
	 * @return the home regions
	 * @throws IOException if they can't be read
	 */
	static HomeRegions readHomes(MessageUnpacker unpacker) throws IOException {
		return unpacker.hasNext() ? new HomeRegions(readRegions(unpacker), readRegions(unpacker)) : HomeRegions.ALL;
	}

	private static Set<RegionName> readRegions(MessageUnpacker unpacker) throws IOException {
		int count = unpacker.unpackArrayHeader();
		Set<RegionName> regions = new HashSet<>();
		for (int index = 0; index < count; index++) {
			regions.add(RegionName.of(unpacker.unpackString()));
		}
		return regions;
	}

	private static Set<TargetName> readTargets(MessageUnpacker unpacker) throws IOException {
		int count = unpacker.unpackArrayHeader();
		Set<TargetName> targets = new HashSet<>();
		for (int index = 0; index < count; index++) {
			targets.add(TargetName.of(unpacker.unpackString()));
		}
		return targets;
	}

	private static void writeDuration(Duration duration, MessagePacker packer) throws IOException {
		packer.packLong(duration.toNanos());
	}

	private static Duration readDuration(MessageUnpacker unpacker) throws IOException {
		return Duration.ofNanos(Math.min(Math.max(0, unpacker.unpackLong()), MAXIMUM_TIME.toNanos()));
	}

	static void writeEnd(AttemptEnd end, MessagePacker packer) throws IOException {
		if (end instanceof AttemptEnd.Delivered delivered) {
			packer.packString(DELIVERED).packInt(delivered.status());
			writeDuration(delivered.longestPause(), packer);
		}
		else if (end instanceof AttemptEnd.NotRun notRun) {
			packer.packString(NOT_RUN).packString(notRun.cause().name());
		}
		else if (end instanceof AttemptEnd.Failed failed) {
			packer.packString(FAILED).packInt(failed.status());
		}
		else if (end instanceof AttemptEnd.Unknown unknown) {
			packer.packString(UNKNOWN).packString(unknown.cause()).packBoolean(unknown.connectionLost());
		}
		else if (end instanceof AttemptEnd.Broken broken) {
			packer.packString(BROKEN)
				.packString(broken.cause())
				.packBoolean(broken.resumable())
				.packBoolean(broken.connectionLost());
		}
	}

	static AttemptEnd readEnd(MessageUnpacker unpacker) throws IOException {
		String kind = unpacker.unpackString();
		return switch (kind) {
			case DELIVERED -> new AttemptEnd.Delivered(unpacker.unpackInt(), readDuration(unpacker));
			case NOT_RUN -> new AttemptEnd.NotRun(NotRunCause.valueOf(unpacker.unpackString()));
			case FAILED -> new AttemptEnd.Failed(unpacker.unpackInt());
			case UNKNOWN -> new AttemptEnd.Unknown(unpacker.unpackString(), unpacker.unpackBoolean());
			case BROKEN ->
				new AttemptEnd.Broken(unpacker.unpackString(), unpacker.unpackBoolean(), unpacker.unpackBoolean());
			default -> throw new IOException("an attempt that ended as '" + kind + "'");
		};
	}

}
