import * as zod from 'zod';

import {
  ControlSettings,
  EntrySettings,
  OperatorSettings,
} from './programSettings.js';

/** What the programs' settings files must look like; unknown fields are refused. */

const NAME_LIMIT = 63;
const PORT_LIMIT = 65_535;
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;
const HOUR_SECONDS = 3_600;
const MINUTE_SECONDS = 60;
const CONTROL_ADDRESS_LIMIT = 100;
const MEMBERSHIP_READ_BYTES_PER_SECOND = 400;

const name = zod.string().min(1).max(NAME_LIMIT);
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

/** The schema of `redwing-entry`'s settings. */
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

/** The schema of `redwing-control`'s settings. */
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
      .default(MEMBERSHIP_READ_BYTES_PER_SECOND),
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

/** The schema of the settings of `redwing`, the operators' command line. */
export const operatorSettingsSchema: zod.ZodType<OperatorSettings> =
  zod.strictObject({
    controlAddresses: zod.array(address).min(1).max(CONTROL_ADDRESS_LIMIT),
    operatorKeyFile: file,
    timeoutSeconds: seconds(0.1, MINUTE_SECONDS),
  });

function seconds(least: number, most: number): zod.ZodNumber {
  return zod.number().min(least).max(most);
}

function isAddress(text: string): boolean {
  const match = /^(\d+)\.(\d+)\.(\d+)\.(\d+):(\d+)$/.exec(text);
  if (!match) {
    return false;
  }
  const numbers = match.slice(1).map(Number);
  const port = numbers.pop() ?? 0;
  return numbers.every(part => part <= 255) && port >= 1 && port <= PORT_LIMIT;
}
