import * as zod from 'zod';

import {
  ControlSettings,
  EntrySettings,
  OperatorSettings,
} from './programSettings.js';

/** Schemas of the programs' settings files. Unknown fields are rejected. */

const MAX_NAME_LENGTH = 63;
const MAX_PORT = 65_535;
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;
const HOUR_SECONDS = 3_600;
const MINUTE_SECONDS = 60;
const MAX_CONTROL_ADDRESSES = 100;
const DEFAULT_MEMBERSHIP_READ_BYTES_PER_SECOND = 400;

const name = zod.string().min(1).max(MAX_NAME_LENGTH);
const file = zod.string().min(1);
const address = zod
  .string()
  .refine(
    isAddress,
    'an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080',
  );

const instance = zod.strictObject({
  id: name,
  region: name,
  dataCentre: name,
});

const platform = zod.strictObject({
  tableAddress: address,
  objectsAddress: address,
  weightsAddress: address,
  membershipAddress: address,
});

const observation = zod.strictObject({
  logLevel: zod.enum(['trace', 'debug', 'info', 'warn', 'error']),
  metricsAddress: address.optional(),
});

/** Schema of the settings of `redwing-entry`. */
export const entrySettingsSchema: zod.ZodType<EntrySettings> = zod.strictObject(
  {
    instance,
    callerAddress: address,
    peerAddress: address,
    controlAddress: address,
    platform,
    peerKeyFile: file,
    observation,
    bodyLimitBytes: zod
      .int()
      .min(KIBIBYTE)
      .max(64 * MEBIBYTE),
    concurrentRequestLimit: zod.int().min(1).max(100_000),
    entrypointsSeconds: seconds(1, HOUR_SECONDS),
    drainSeconds: seconds(0, HOUR_SECONDS),
    cellSize: zod.int().min(1).max(256),
    policy: zod.enum(['redwing', 'naive']),
  },
);

/** Schema of the settings of `redwing-control`. */
export const controlSettingsSchema: zod.ZodType<ControlSettings> = zod
  .strictObject({
    instance,
    controlAddress: address,
    platform,
    peerKeyFile: file,
    operatorKeysFile: file,
    observation,
    headReadSeconds: seconds(0.05, MINUTE_SECONDS),
    membershipReadSeconds: seconds(0.05, MINUTE_SECONDS),
    membershipReadBytesPerSecond: zod
      .number()
      .min(1)
      .max(MEBIBYTE)
      .default(DEFAULT_MEMBERSHIP_READ_BYTES_PER_SECOND),
    peerExchangeSeconds: seconds(0.05, MINUTE_SECONDS),
    confirmationBoundSeconds: seconds(0.1, HOUR_SECONDS),
    placementEnabled: zod.boolean(),
  })
  .refine(
    settings => settings.confirmationBoundSeconds > settings.headReadSeconds,
    {
      path: ['confirmationBoundSeconds'],
      message: 'more than headReadSeconds',
    },
  );

/** Schema of the settings of `redwing`, the operators' command line. */
export const operatorSettingsSchema: zod.ZodType<OperatorSettings> =
  zod.strictObject({
    controlAddresses: zod.array(address).min(1).max(MAX_CONTROL_ADDRESSES),
    operatorKeyFile: file,
    timeoutSeconds: seconds(0.1, MINUTE_SECONDS),
  });

function seconds(minimum: number, maximum: number): zod.ZodNumber {
  return zod.number().min(minimum).max(maximum);
}

function isAddress(text: string): boolean {
  const match = /^(\d+)\.(\d+)\.(\d+)\.(\d+):(\d+)$/.exec(text);
  if (!match) {
    return false;
  }
  const numbers = match.slice(1).map(Number);
  const port = numbers.pop() ?? 0;
  return numbers.every(part => part <= 255) && port >= 1 && port <= MAX_PORT;
}
