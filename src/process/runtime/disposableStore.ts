/** Resource that is held until it is disposed of. */
export interface DisposableResource {
    dispose(): void | Promise<void>;
}

/**
 * Collects resources and disposes of them in reverse order of their addition.
 *
 * @example
 * const store = new DisposableStore();
 * store.add(repeat(clock, 1000, poll));
 * await store.dispose();
 */
export class DisposableStore implements DisposableResource {
    private readonly resources: DisposableResource[] = [];
    private disposed = false;

    /** Adds a resource or a clean-up function. Additions after the disposal are disposed of immediately. */
    add(resource: DisposableResource | (() => void | Promise<void>)): void {
        const entry = typeof resource === "function" ? { dispose: resource } : resource;
        if (this.disposed) {
            void entry.dispose();
            return;
        }
        this.resources.push(entry);
    }

    async dispose(): Promise<void> {
        this.disposed = true;
        while (this.resources.length > 0) {
            const resource = this.resources.pop();
            await resource?.dispose();
        }
    }
}
