/** Maximum size of a response of the platform that is read, in bytes; above that of any page of rows and any bundle. */
export const MAX_PLATFORM_RESPONSE_BYTES = 16_777_216;
