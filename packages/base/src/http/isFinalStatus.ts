const FIRST_FINAL_STATUS = 200
const LAST_STATUS = 599

/** Whether a status ends an exchange (RFC 9110, section 15). Parsers take any number of three digits. */
export const isFinalStatus = (statusCode: number): boolean => statusCode >= FIRST_FINAL_STATUS && statusCode <= LAST_STATUS
