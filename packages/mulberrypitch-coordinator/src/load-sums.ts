/** Sums of the loads that entries put on back ends, to which the load of one entry is added and from which it is taken. */
import type {BackendLoad} from '@mulberrypitch/serving/view-messages';

type Loads = Readonly<Record<string, BackendLoad>>;

const noLoad: BackendLoad = {requests: 0, pendingTokens: 0};

/** Holds one sum for each back end with any load. */
export class LoadSums {
	readonly #sums = new Map<string, BackendLoad>();

	/** Adds the loads of an entry, by the identifier of the back end. */
	add(loads: Loads): void {
		for (const [backend, load] of Object.entries(loads)) {
			this.#set(backend, combine(this.#get(backend), load, 1));
		}
	}

	/** Takes away the loads that were added for an entry before. */
	subtract(loads: Loads): void {
		for (const [backend, load] of Object.entries(loads)) {
			this.#set(backend, combine(this.#get(backend), load, -1));
		}
	}

	/** Returns the sums without the loads of one entry, by the identifier of the back end. */
	getWithout(own: Loads): Loads {
		const others: Record<string, BackendLoad> = {};
		for (const [backend, sum] of this.#sums) {
			const ownLoad = own[backend];
			const load = ownLoad === undefined ? sum : combine(sum, ownLoad, -1);
			if (hasLoad(load)) {
				others[backend] = load;
			}
		}

		return others;
	}

	#get(backend: string): BackendLoad {
		return this.#sums.get(backend) ?? noLoad;
	}

	#set(backend: string, load: BackendLoad): void {
		if (hasLoad(load)) {
			this.#sums.set(backend, load);
		} else {
			this.#sums.delete(backend);
		}
	}
}

function combine(left: BackendLoad, right: BackendLoad, sign: 1 | -1): BackendLoad {
	return {requests: left.requests + (sign * right.requests), pendingTokens: left.pendingTokens + (sign * right.pendingTokens)};
}

function hasLoad({requests, pendingTokens}: BackendLoad): boolean {
	return requests !== 0 || pendingTokens !== 0;
}
