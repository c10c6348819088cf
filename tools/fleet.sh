# Shared by scripts that run a fleet on loopback; not a command by itself.
# Sets up and stops the stand-in for the platform and the VMs of an example.

# Writes the settings files of a fleet: fleet_prepare EXAMPLE FOLDER
fleet_prepare() {
  local example=$1 folder=$2
  mkdir -p "$folder/published"
  cp -r "$example/." "$folder/published/"
  cat >"$folder/standin.ini" <<INI
[standin]
folder = $folder/published
port = $FLEET_PLATFORM_PORT
INI
  awk -v folder="$folder" -v port="$FLEET_PLATFORM_PORT" '
    function finish() {
      if (name == "") return
      file = folder "/" name ".ini"
      print "[vm]" >file
      print "name = " name >file
      print "data_centre = " centre >file
      print "site = " site[centre] >file
      print "host = " host >file
      print "peer_port = " peer >file
      print "http_port = " http >file
      print "[platform]" >file
      print "configuration = 127.0.0.1:" port >file
      print "vm_list = 127.0.0.1:" port >file
      close(file)
      print name, host, http >(folder "/vms")
      name = ""
    }
    /^\[/ { finish(); section = $1; sub(/^\[/, "", section)
            title = $2; sub(/\]$/, "", title)
            if (section == "vm") name = title }
    section == "data_centre" && $1 == "site" { site[title] = $3 }
    section == "vm" && $1 == "data_centre" { centre = $3 }
    section == "vm" && $1 == "host" { host = $3 }
    section == "vm" && $1 == "peer_port" { peer = $3 }
    section == "vm" && $1 == "http_port" { http = $3 }
    END { finish() }
  ' "$folder/published/base.ini"
}

# Starts a program and notes its process id: fleet_start NAME PROGRAM FILE
fleet_start() {
  local name=$1
  shift
  "$@" >"$FLEET_FOLDER/$name.log" 2>&1 &
  echo "$!" >"$FLEET_FOLDER/$name.pid"
}

fleet_pid() {
  cat "$FLEET_FOLDER/$1.pid"
}

# Waits until an address answers 200: fleet_await URL SECONDS
fleet_await() {
  local url=$1 tries=$(($2 * 10))
  while [ "$tries" -gt 0 ]; do
    curl -sf -o /dev/null -m 2 "$url" && return 0
    sleep 0.1
    tries=$((tries - 1))
  done
  echo "$url does not answer" >&2
  return 1
}

# Starts the stand-in and all VMs and waits until they are ready.
fleet_up() {
  local build=$1 name host http
  fleet_start standin "$build/src/tests/standins/platform_standin" \
    --settings "$FLEET_FOLDER/standin.ini"
  fleet_await "http://127.0.0.1:$FLEET_PLATFORM_PORT/v1/vms" 20
  while read -r name host http; do
    fleet_start "$name" "$build/src/cranberrywoodd/cranberrywoodd" \
      --settings "$FLEET_FOLDER/$name.ini"
  done <"$FLEET_FOLDER/vms"
  while read -r name host http; do
    fleet_await "http://$host:$http/readyz" 60
  done <"$FLEET_FOLDER/vms"
}

# Ends everything that was started, by process id.
fleet_down() {
  local file pid
  for file in "$FLEET_FOLDER"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    rm -f "$file"
  done
}
