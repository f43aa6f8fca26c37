import { MAX_TOLD_PEERS, type Peer } from "./peersMessage.js";

/** Number of these that are left for instances of other failure domains. */
const OTHER_DOMAINS = 5;

/** A copy in random order. */
export const shuffled = <Item>(items: readonly Item[], random: () => number): Item[] =>
    items
        .map(item => ({ item, rank: random() }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ item }) => item);

/**
 * Selects the instances that one is told of: some of its failure domain, since bytes between domains are billed, and some of the
 * others, since all of a domain may be cut off. Each instance is told of others, so that the load of a domain that is cut off is
 * spread.
 *
 * @example
 * selectPeers(peers, "linz", Math.random);
 */
export const selectPeers = (peers: readonly Peer[], domain: string, random: () => number): Peer[] => {
    const own = shuffled(
        peers.filter(peer => peer.domain === domain),
        random,
    );
    const others = shuffled(
        peers.filter(peer => peer.domain !== domain),
        random,
    );
    const fromOwn = own.slice(0, MAX_TOLD_PEERS - Math.min(OTHER_DOMAINS, others.length));
    return [...fromOwn, ...others.slice(0, MAX_TOLD_PEERS - fromOwn.length)];
};
