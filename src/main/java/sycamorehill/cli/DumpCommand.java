package sycamorehill.cli;

import com.github.rvesse.airline.annotations.Command;

import sycamorehill.http.HttpAnswer;

/**
 * Prints one process's state.
 */
@Command(name = "dump",
		description = "One node's state: views and their ages, leases, queues, groups, peers, shares (always JSON)")
public final class DumpCommand extends NodeCommand {

	@Override
	public int run() throws Exception {
		HttpAnswer answer = get("/operator/dump");
		System.out.println(pretty(tree(answer)));
		return ExitCode.DONE;
	}

}
