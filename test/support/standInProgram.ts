/** Prints the line from which the parent process reads the addresses of this program. */
export const announceListening = (addresses: Record<string, string>): void => {
    process.stdout.write(`${JSON.stringify({ listening: addresses })}\n`);
};

/** Exits when the parent process has ended, which closes standard input. */
export const endWithParent = (): void => {
    process.stdin.on("end", () => process.exit(0));
    process.stdin.on("error", () => process.exit(0));
    process.stdin.resume();
};
