package sycamorehill.model.serving;

/**
 * Use of a connection to a target for one request.
 *
 * @param connection number of the connection within this process
 * @param request number of the request on the connection; 1 for the first
 */
public record ConnectionUse(long connection, long request) {

	@Override
	public String toString() {
		return this.connection + "/" + this.request;
	}

}
