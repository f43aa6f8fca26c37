/** A failure domain to whose targets nothing more is to be sent. Times are monotonic, in milliseconds. */
export interface Evacuation {
    domain: string;
    /** Time at which this instance read the row. */
    since: number;
    /**
     * Time from which its targets get no more requests. It is that of the reading if the row may have been written long before, as at an
     * instance that has just started.
     */
    sendsUntil: number;
}
