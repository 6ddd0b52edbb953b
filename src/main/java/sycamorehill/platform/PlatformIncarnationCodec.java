package sycamorehill.platform;

import java.io.IOException;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.entry.IncarnationCodec;
import sycamorehill.model.serving.TargetAddress;

/**
 * Asks the platform's engines for their reports, which name the start of the process.
 * Other targets may answer without one.
 */
final class PlatformIncarnationCodec implements IncarnationCodec {

	private final ObjectMapper json = new ObjectMapper();

	private PlatformIncarnationCodec() {
	}

	static PlatformIncarnationCodec create() {
		return new PlatformIncarnationCodec();
	}

	@Override
	public FullHttpRequest question(TargetAddress target) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
				PlatformEngineClient.REPORT_PATH);
		request.headers()
			.set(HttpHeaderNames.HOST, target.address().toString())
			.set(PlatformHeaders.EXPECTED_INSTANCE, target.name().value());
		return request;
	}

	// An answer that is no report names no start.
	@Override
	public OptionalLong readStartMillis(byte[] answer) {
		try {
			JsonNode report = this.json.readTree(answer);
			long startMillis = TargetDecoder.startMillis(report);
			return (startMillis != 0) ? OptionalLong.of(startMillis) : OptionalLong.empty();
		}
		catch (IOException | IllegalArgumentException ex) {
			return OptionalLong.empty();
		}
	}

}
