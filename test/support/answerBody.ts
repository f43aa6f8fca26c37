const CHUNK_BYTES = 16_384;

/**
 * Body of `bytes` bytes that repeats a tag, so that a mix of two answers is detected.
 *
 * @example
 * taggedBody("tray-30", 100).byteLength; // 100
 */
export const taggedBody = (tag: string, bytes: number): Buffer => Buffer.alloc(bytes, `${tag}|`);

/** Tag of the answer to a request: its identifier, else its path with the query. */
export const answerTag = (request: { identifier: string | undefined; path: string }): string =>
    request.identifier ?? request.path;

/** Yields a body in chunks, with a delay before each chunk but the first. */
export const slowChunks = async function* (body: Buffer, chunkMs: number): AsyncGenerator<Buffer> {
    for (let offset = 0; offset < body.byteLength; offset += CHUNK_BYTES) {
        if (offset > 0 && chunkMs > 0) {
            await new Promise<void>(resolve => setTimeout(resolve, chunkMs));
        }
        yield body.subarray(offset, offset + CHUNK_BYTES);
    }
};
