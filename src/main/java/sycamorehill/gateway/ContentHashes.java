package sycamorehill.gateway;

import java.util.HexFormat;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;

/**
 * Hashes of a request's content that the decisions use in place of the content.
 */
final class ContentHashes {

	private ContentHashes() {
	}

	static Fingerprint fingerprint(ServiceName service, String method, String body) {
		HashValue128 hash = Hashing.murmur3_128()
			.hashStream()
			.putString(service.value())
			.putString(method)
			.putString(body)
			.get();
		return new Fingerprint(HexFormat.of().formatHex(hash.toByteArray()));
	}

	static OrderKey orderKey(String workspaceKeyHash, ServiceName service, String idempotencyKey) {
		HashValue128 hash = Hashing.murmur3_128()
			.hashStream()
			.putString(workspaceKeyHash)
			.putString(service.value())
			.putString(idempotencyKey)
			.get();
		OrderKey hashed = new OrderKey(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
		return OrderNumbers.encodeOrigin(hashed, idempotencyKey);
	}

}
