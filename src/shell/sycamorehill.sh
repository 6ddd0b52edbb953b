#!/bin/sh
# The jar follows this stub: `exec` replaces the shell, so that one process runs and receives the signals.
exec java ${SYCAMOREHILL_JAVA_OPTIONS:--XX:+UseSerialGC -Xss512k -XX:MaxDirectMemorySize=128m -Xmx256m} -Dio.netty.tryReflectionSetAccessible=false -jar "$0" "$@"
